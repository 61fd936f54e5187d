//! A balancer that follows the configuration of its fleet: the program as a process, with stand-in coordinators.

mod common;
#[path = "common/process.rs"]
mod process;

use common::*;
use fernroute_fleet::configuration::register::{ConfigurationPut, Register};
use fernroute_fleet::configuration::{
    content_hash, ConfigurationReport, FetchReply, FetchRequest, Scope, Target, FETCH_PATH,
};
use fernroute_fleet::message::{Envelope, Grant, Heartbeat, HeartbeatError, HeartbeatReply};
use fernroute_test_support::http::response;
use process::{temp_dir, Program};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a stand-in coordinator answers a fetch.
#[derive(Clone, Copy, PartialEq)]
enum FetchMode {
    Normal,
    Behind,
    /// Contents that do not match their hashes.
    Corrupt,
    Silent,
}

/// Coordinators that agree: one register behind several addresses.
struct Coordinators {
    addresses: Vec<SocketAddr>,
    register: RefCell<Register>,
    /// Whether heartbeat replies mention the configuration; those of an older version do not.
    supports_configuration: Cell<bool>,
    fetch_modes: RefCell<Vec<FetchMode>>,
    /// Whether they answer heartbeats.
    answers_heartbeats: Cell<bool>,
    heartbeats: RefCell<Vec<Heartbeat>>,
    fetches: Cell<usize>,
}

impl Coordinators {
    async fn start(count: usize) -> Rc<Self> {
        let slot: Rc<RefCell<Option<Rc<Coordinators>>>> = Rc::default();
        let mut addresses = Vec::new();
        for n in 0..count {
            let slot = Rc::clone(&slot);
            let server = start_stub(move |_, message| match &*slot.borrow() {
                Some(coordinators) => coordinators.reply(n, message),
                None => Reply::NoReply,
            });
            addresses.push(server.await.address);
        }
        let coordinators = Rc::new(Coordinators {
            addresses,
            register: RefCell::default(),
            supports_configuration: Cell::new(true),
            fetch_modes: RefCell::new(vec![FetchMode::Normal; count]),
            answers_heartbeats: Cell::new(true),
            heartbeats: RefCell::default(),
            fetches: Cell::new(0),
        });
        slot.replace(Some(Rc::clone(&coordinators)));
        coordinators
    }

    fn reply(&self, n: usize, message: &Message) -> Reply {
        let json = |body: String| Reply::Send(response(200, "", &body));
        if message.target == FETCH_PATH {
            self.fetches.set(self.fetches.get() + 1);
            let request: Envelope<FetchRequest> =
                serde_json::from_slice(&message.body).expect("valid fetch request");
            let mut fetched = self.register.borrow().fetch(&request.message);
            match self.fetch_modes.borrow()[n] {
                FetchMode::Normal => {}
                FetchMode::Behind => fetched = FetchReply::Behind,
                FetchMode::Silent => return Reply::NoReply,
                FetchMode::Corrupt => {
                    if let FetchReply::Entries { entries, .. } = &mut fetched {
                        entries.iter_mut().for_each(|entry| entry.content = method("spoilt"));
                    }
                }
            }
            return json(serde_json::to_string(&fetched).expect("valid JSON"));
        }
        if !self.answers_heartbeats.get() {
            return Reply::NoReply;
        }
        let heartbeat: Envelope<Heartbeat> = serde_json::from_slice(&message.body).expect("valid heartbeat");
        let heartbeat = heartbeat.message;
        let version =
            heartbeat.configuration.as_ref().filter(|_| self.supports_configuration.get()).and_then(
                |report| {
                    let ConfigurationReport { service, zone, active: in_force, .. } = report.clone();
                    let target = Target { name: heartbeat.name.clone(), service, zone };
                    Some(self.register.borrow().version_for(&target)).filter(|version| *version != in_force)
                },
            );
        let grant = Grant { epoch: 1, ..Grant::default() };
        let (shares_for, floors_for) = (30_000, 120_000);
        let reply: Result<HeartbeatReply, HeartbeatError> = Ok(HeartbeatReply {
            identity: heartbeat.identity,
            number: heartbeat.number,
            grant,
            quotas_valid_for: shares_for,
            guaranteed_valid_for: floors_for,
            configuration: version,
            duties: None,
        });
        self.heartbeats.borrow_mut().push(heartbeat);
        json(serde_json::to_string(&reply).expect("valid JSON"))
    }

    /// Enters a layer for the whole service.
    fn put(&self, content: &str) -> u64 {
        self.put_for_scope("service/shop", content)
    }

    fn put_for_scope(&self, scope: &str, content: &str) -> u64 {
        let mut register = self.register.borrow_mut();
        let scope: Scope = scope.parse().expect("valid scope");
        let (base, content, hash) =
            (register.latest_version(&scope), content.to_owned(), content_hash(content));
        let who = "op".to_owned();
        register
            .apply(&ConfigurationPut {
                scope,
                base_version: base,
                content_hash: hash,
                content,
                author: who,
                entered_at_ms: 0,
                min_version_exclusive: 0,
            })
            .expect("accepted change")
    }

    fn report(&self) -> ConfigurationReport {
        let heartbeats = self.heartbeats.borrow();
        heartbeats.last().and_then(|heartbeat| heartbeat.configuration.clone()).unwrap_or_default()
    }

    async fn until_active(&self, version: u64) {
        wait_until(|| self.report().active == version).await;
    }

    async fn until_rejected(&self, version: u64) -> String {
        wait_until(|| self.report().rejected.is_some_and(|(refused, _)| refused == version)).await;
        self.report().rejected.map(|(_, why)| why).unwrap_or_default()
    }
}

fn method(name: &str) -> String {
    format!("[[method]]\nname = \"{name}\"\neffect = \"retriable\"\nhard_ms = 3000\n")
}

/// The balancer's own file, with `look` as its only method.
fn config_toml(up: SocketAddr, coordinators: &[SocketAddr], fleet: &str) -> String {
    let coordinators: Vec<String> = coordinators.iter().map(|at| format!("\"{at}\"")).collect();
    format!(
        "name = \"n0\"\nlisten = \"127.0.0.1:0\"\nops = \"127.0.0.2:0\"\ndiscovery = \"127.0.0.1:9\"\n[place]\nzone = \"z\"\n\
         [fleet]\ncluster = \"c\"\nstewards = [{}]\nbeat_ms = 30\n{fleet}\n\
         [rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
         [[upstream]]\nid = \"u\"\naddress = \"{up}\"\nzone = \"z\"\n\
         [[tenant]]\nname = \"acme\"\nrate = 100\n{}",
        coordinators.join(", "),
        method("look"),
    )
}

const SHOP: &str = "service = \"shop\"";

/// The cached configuration, stored beside the balancer's identity file.
fn cache_path(folder: &Path) -> PathBuf {
    folder.join("fernroute-n0-127.0.0.1_0.configuration")
}

async fn status(program: &Program, method: &str) -> u16 {
    send_and_read(program.address, rpc_head("GET", &format!("/{method}"), "Connection: close\r\n"))
        .await
        .status()
}

async fn metrics(program: &Program) -> serde_json::Value {
    let answer = send_and_read(program.ops_address, "GET /-/metrics HTTP/1.1\r\nHost: n0\r\n\r\n").await;
    serde_json::from_slice(&answer.body).expect("valid JSON")
}

/// Guards against a change that is reported as active without effect, against SIGHUP that drops the fleet's layers, and against
/// layers that stay in effect after their removal.
#[test]
fn change_takes_effect_and_sighup_keeps_it() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(2).await);
        let text = config_toml(up.address, &coordinators.addresses, SHOP);
        let program = Program::start(&temp_dir("change"), &text).await;
        assert_eq!((status(&program, "look").await, status(&program, "pay").await), (200, 404));
        let first = coordinators.put(&(method("look") + &method("pay")));
        coordinators.until_active(first).await;
        assert_eq!(status(&program, "pay").await, 200);
        // Its own file now has another method; the fleet's list of methods overrides it.
        program.reload(&text.replace("\"look\"", "\"other\"").replace("rate = 100", "rate = 50"));
        wait_until(|| program.log_contains("reloaded")).await;
        assert_eq!((status(&program, "pay").await, status(&program, "other").await), (200, 404));
        // The list of a narrower scope replaces that of a wider one.
        let second = coordinators.put_for_scope("service/shop/zone/z", &method("zoned"));
        coordinators.until_active(second).await;
        assert_eq!((status(&program, "pay").await, status(&program, "zoned").await), (404, 200));
        // Changes in other balancers' scopes have no effect.
        coordinators.put_for_scope("service/shop/zone/y", &method("elsewhere"));
        coordinators.put_for_scope("balancer/n1", &method("elsewhere"));
        let fetches = coordinators.fetches.get();
        let heartbeats = coordinators.heartbeats.borrow().len();
        wait_until(|| coordinators.heartbeats.borrow().len() > heartbeats + 5).await;
        assert_eq!((coordinators.fetches.get(), coordinators.report().active), (fetches, second));
        coordinators.put_for_scope("service/shop/zone/z", "");
        let last = coordinators.put("");
        coordinators.until_active(last).await;
        assert_eq!((status(&program, "other").await, status(&program, "look").await), (200, 404));
        let fleet = metrics(&program).await["fleet"].clone();
        assert_eq!(
            (&fleet["configuration"]["in_force"], &fleet["configuration"]["kept"]),
            (&last.into(), &true.into())
        );
        assert!(
            fleet["beats"].as_u64() > fleet["fetches"].as_u64() && fleet["sent_bytes"].as_u64() > Some(1000)
        );
        // One log line for each change, none for each heartbeat.
        assert!(program.log().len() < 25, "{:?}", program.log());
    });
}

/// Guards against applying a part of a change, and against fetching a change that cannot be loaded again and again.
#[test]
fn invalid_change_is_rejected_with_reason_and_next_change_applies() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(2).await);
        let text = config_toml(up.address, &coordinators.addresses, SHOP);
        let program = Program::start(&temp_dir("refused"), &text).await;
        let first = coordinators.put(&method("first"));
        coordinators.until_active(first).await;
        // The methods are valid, and the value of `limits.cancel` is not.
        let bad = coordinators.put(&(method("bad") + "[limits]\ncancel = 3\n"));
        let why = coordinators.until_rejected(bad).await;
        assert!(
            why.contains("limits.cancel") && why.contains("(service/shop)") && !why.contains('\n'),
            "{why}"
        );
        assert_eq!((status(&program, "first").await, status(&program, "bad").await), (200, 404));
        assert_eq!(coordinators.report().active, first);
        let (fetches, heartbeats) = (coordinators.fetches.get(), coordinators.heartbeats.borrow().len());
        wait_until(|| coordinators.heartbeats.borrow().len() > heartbeats + 10).await;
        assert_eq!(coordinators.fetches.get(), fetches);
        assert_eq!(program.log_count("was rejected"), 1);
        let refused = metrics(&program).await["fleet"]["configuration"]["refused"].clone();
        assert_eq!(refused[0], bad);
        let third = coordinators.put(&method("third"));
        coordinators.until_active(third).await;
        assert_eq!((status(&program, "third").await, coordinators.report().rejected), (200, None));
        // Coordinators cannot change the sections that belong in each balancer's own file.
        let own = coordinators.put(&(method("own") + "[place]\nzone = \"y\"\n"));
        assert!(coordinators
            .until_rejected(own)
            .await
            .contains("place: belongs in each balancer's own file"));
    });
}

/// Guards against having to enter a fleet's change again after an operator has corrected a balancer's own file.
#[test]
fn corrected_file_loads_rejected_change_and_conflicting_file_is_rejected() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(1).await);
        let text = config_toml(up.address, &coordinators.addresses, SHOP);
        let program = Program::start(&temp_dir("mended"), &text).await;
        let asks = coordinators.put("[list]\nmode = \"ask\"\n");
        let why = coordinators.until_rejected(asks).await;
        assert!(why.contains("list.ask_within_s"), "{why}");
        let mended = text.replace("[rules]", "[list]\nask_within_s = 2\n[rules]");
        program.reload(&mended);
        coordinators.until_active(asks).await;
        // Without `ask_within_s` the fleet's change could no longer be loaded, so the reload is rejected.
        program.reload(&text.replace("\"look\"", "\"other\""));
        wait_until(|| program.log_contains("reload rejected, nothing has changed")).await;
        assert_eq!((status(&program, "look").await, status(&program, "other").await), (200, 404));
        assert_eq!(coordinators.report().active, asks);
    });
}

/// Guards against a balancer that waits for one coordinator, applies corrupt or old contents, or fetches too often.
#[test]
fn coordinator_that_is_behind_silent_or_corrupt_is_skipped() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(4).await);
        let program =
            Program::start(&temp_dir("ways"), &config_toml(up.address, &coordinators.addresses, SHOP)).await;
        coordinators.fetch_modes.replace(vec![
            FetchMode::Behind,
            FetchMode::Corrupt,
            FetchMode::Normal,
            FetchMode::Silent,
        ]);
        for n in 0..4 {
            let name = format!("m{n}");
            let version = coordinators.put(&method(&name));
            coordinators.until_active(version).await;
            assert_eq!(status(&program, &name).await, 200);
        }
        coordinators.fetch_modes.replace(vec![
            FetchMode::Behind,
            FetchMode::Corrupt,
            FetchMode::Corrupt,
            FetchMode::Behind,
        ]);
        let last = coordinators.put(&method("last"));
        let fetches = coordinators.fetches.get();
        wait_until(|| coordinators.fetches.get() >= fetches + 12).await;
        assert_eq!((status(&program, "m3").await, status(&program, "spoilt").await), (200, 404));
        assert_eq!(coordinators.report().rejected, None);
        coordinators.fetch_modes.replace(vec![FetchMode::Normal; 4]);
        coordinators.until_active(last).await;
    });
}

/// Guards against a balancer that waits for coordinators of an older version, or fetches from them what they do not have.
#[test]
fn coordinators_without_configuration_support_change_nothing() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(1).await);
        coordinators.supports_configuration.set(false);
        coordinators.put(&method("new"));
        let program =
            Program::start(&temp_dir("older"), &config_toml(up.address, &coordinators.addresses, SHOP)).await;
        assert!(!program.log_contains("no current configuration from the coordinators"));
        wait_until(|| coordinators.heartbeats.borrow().len() > 10).await;
        assert_eq!((status(&program, "look").await, coordinators.fetches.get()), (200, 0));
        // A balancer that follows no service reports no configuration and is notified of none.
        coordinators.supports_configuration.set(true);
        let other =
            Program::start(&temp_dir("none"), &config_toml(up.address, &coordinators.addresses, "")).await;
        let heartbeats = coordinators.heartbeats.borrow().len();
        wait_until(|| {
            coordinators.heartbeats.borrow()[heartbeats..]
                .iter()
                .filter(|b| b.configuration.is_none())
                .count()
                > 3
        })
        .await;
        assert_eq!(status(&other, "new").await, 404);
        coordinators.until_active(1).await;
    });
}

/// Guards against a start that needs coordinators, uses a damaged cache, or waits without end.
#[test]
fn start_without_coordinators_uses_valid_cache_in_time() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(2).await);
        let folder = temp_dir("copy");
        let text = config_toml(up.address, &coordinators.addresses, &format!("{SHOP}\nwait_ms = 300"));
        let program = Program::start(&folder, &text).await;
        coordinators.put_for_scope("all", "[limits]\ncancel = true\n");
        let version = coordinators.put(&method("kept"));
        coordinators.until_active(version).await;
        program.kill();
        coordinators.answers_heartbeats.set(false);
        let (path, cached) = (
            cache_path(&folder),
            std::fs::read_to_string(cache_path(&folder)).expect("read the cached configuration"),
        );
        let names = std::fs::read_dir(&folder).expect("access the test directory").flatten();
        let left =
            names.filter(|entry| entry.file_name().to_string_lossy().contains(".configuration.")).count();
        assert_eq!(left, 0, "temporary files must be removed");
        let from = Instant::now();
        let program = Program::start(&folder, &text).await;
        assert!(from.elapsed() >= Duration::from_millis(300));
        assert!(program.log_contains(&format!("configuration {version} is in force, from the cache")));
        assert!(program.log_contains("no current configuration from the coordinators in time"));
        assert_eq!((status(&program, "kept").await, status(&program, "look").await), (200, 404));
        program.kill();
        let cut = &cached[..cached.len() / 2];
        let other = cached.replacen("kept", "cept", 1);
        for damaged in [cut, "", "{}", &other, &cached.replace("\"z\"", "\"y\""), "\u{0}"] {
            std::fs::write(&path, damaged).expect("access the test file");
            let program = Program::start(&folder, &text).await;
            assert_eq!(program.log_count("cached configuration ignored: "), 1, "{:?}", program.log());
            assert_eq!((status(&program, "kept").await, status(&program, "look").await), (404, 200));
            program.kill();
        }
        // A valid cache that no longer matches the balancer's own file.
        std::fs::write(&path, &cached).expect("access the test file");
        let program =
            Program::start(&folder, &text.replace("zone = \"z\"\n[fleet]", "zone = \"x\"\n[fleet]")).await;
        assert_eq!(program.log_count("cached configuration ignored: not for balancer n0"), 1);
        program.kill();
        // The coordinators are back: their configuration becomes active before the balancer serves.
        coordinators.answers_heartbeats.set(true);
        let newer = coordinators.put(&method("newer"));
        let program = Program::start(&folder, &text.replace("wait_ms = 300", "wait_ms = 5000")).await;
        assert_eq!((status(&program, "newer").await, status(&program, "kept").await), (200, 404));
        coordinators.until_active(newer).await;
    });
}

/// Guards against a balancer that keeps a replaced configuration because its disk is full, and against logging the failed write
/// at each heartbeat.
#[test]
fn configuration_takes_effect_when_cache_write_fails() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(1).await);
        let folder = temp_dir("disk");
        let cache_folder = folder.join("gone");
        let text = config_toml(
            up.address,
            &coordinators.addresses,
            &format!("{SHOP}\nfolder = \"{}\"", cache_folder.display()),
        );
        let program = Program::start(&folder, &text).await;
        for n in 0..3 {
            let version = coordinators.put(&method(&format!("m{n}")));
            coordinators.until_active(version).await;
            assert_eq!(status(&program, &format!("m{n}")).await, 200);
        }
        assert_eq!(program.log_count("in force but not cached"), 1, "{:?}", program.log());
        assert_eq!(metrics(&program).await["fleet"]["configuration"]["kept"], false);
        std::fs::create_dir(&cache_folder).expect("access the test directory");
        let version = coordinators.put(&method("last"));
        coordinators.until_active(version).await;
        assert_eq!(program.log_count("is cached, writes to the cache work again"), 1);
        program.kill();
        coordinators.answers_heartbeats.set(false);
        let program = Program::start(&folder, &text).await;
        assert_eq!(status(&program, "last").await, 200);
        // The coordinators answer again after a start from the cache.
        coordinators.answers_heartbeats.set(true);
        coordinators.until_active(version).await;
    });
}

/// Guards against an RPC that is ended by a change of its method's settings, or accepted under settings that were replaced.
#[test]
fn open_rpcs_keep_their_settings_and_none_is_lost() {
    run(async {
        let slow = |_, message: &Message| match message.target.as_str() {
            "/look" => Reply::NoReply,
            _ => ok("whole"),
        };
        let (up, coordinators) = (start_stub(slow).await, Coordinators::start(2).await);
        let program =
            Program::start(&temp_dir("flight"), &config_toml(up.address, &coordinators.addresses, SHOP))
                .await;
        let pay = "[[method]]\nname = \"pay\"\neffect = \"non_retriable\"\nhard_ms = 3000\n";
        let first = coordinators.put(&(method("look") + pay));
        coordinators.until_active(first).await;
        // Accepted with a hard deadline of 3 s, and open while the method's deadline becomes 0.2 s and the method is removed.
        let from = Instant::now();
        let mut open = send(program.address, rpc_head("GET", "/look", "")).await;
        wait_until(|| up.received.borrow().iter().any(|seen| seen.target == "/look")).await;
        let load = CallerLoad::start(4, program.address);
        for n in 0..12 {
            let short = method("look").replace("3000", "200");
            let version = coordinators.put(&if n % 2 == 0 { short + pay } else { pay.to_owned() });
            load.wait_for_answers(20).await;
            coordinators.until_active(version).await;
        }
        load.finish().await;
        assert_eq!(status(&program, "look").await, 404);
        let end = read_message(&mut open).await.expect("read the answer");
        assert!(from.elapsed() > Duration::from_millis(2500), "{:?} {}", from.elapsed(), end.head);
        assert_ne!(end.status(), 404);
        let metrics = metrics(&program).await;
        assert_eq!(metrics["outstanding"], 0);
    });
}

/// Guards against requesting shares for the previous tenants only: a new tenant would never get a share, and a removed one would
/// make the balancer reject every grant.
#[test]
fn requested_shares_follow_a_change_of_tenants() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(1).await);
        let text = config_toml(up.address, &coordinators.addresses, SHOP);
        let program = Program::start(&temp_dir("tenants"), &text).await;
        let requested_tenants = || -> Vec<String> {
            let heartbeats = coordinators.heartbeats.borrow();
            heartbeats.last().map(|heartbeat| heartbeat.demand.keys().cloned().collect()).unwrap_or_default()
        };
        wait_until(|| requested_tenants() == ["acme"]).await;
        let tenant = |name: &str| format!("[[tenant]]\nname = \"{name}\"\nrate = 10\n");
        let version = coordinators.put(&(tenant("acme") + &tenant("bolt")));
        coordinators.until_active(version).await;
        wait_until(|| requested_tenants() == ["acme", "bolt"]).await;
        coordinators.put(&tenant("bolt"));
        wait_until(|| requested_tenants() == ["bolt"]).await;
        // The same by SIGHUP, once the fleet no longer sets tenants.
        coordinators.put("");
        wait_until(|| requested_tenants() == ["acme"]).await;
        program.reload(&text.replace("\"acme\"", "\"dart\""));
        wait_until(|| requested_tenants() == ["dart"]).await;
        let heartbeats = coordinators.heartbeats.borrow().len();
        wait_until(|| coordinators.heartbeats.borrow().len() > heartbeats + 3).await;
        assert!(!program.log_contains("nothing has changed"), "{:?}", program.log());
    });
}

/// Guards against an upgrade in which the new process lacks configuration that the old one had.
#[test]
fn successor_starts_with_the_active_configuration() {
    run(async {
        let (up, coordinators) = (start_stub(|_, _| ok("whole")).await, Coordinators::start(1).await);
        let folder = temp_dir("successor");
        let text = config_toml(up.address, &coordinators.addresses, &format!("{SHOP}\nwait_ms = 200"));
        let old = Program::start(&folder, &text).await;
        let first = coordinators.put(&method("first"));
        coordinators.until_active(first).await;
        coordinators.answers_heartbeats.set(false);
        let new = Program::start(&folder, &text).await;
        assert!(
            new.log_contains(&format!("configuration {first} is in force, from the cache")),
            "{:?}",
            new.log()
        );
        assert!(new.log_contains("taking over"));
        assert_eq!((status(&new, "first").await, status(&new, "look").await), (200, 404));
        old.exits_cleanly().await;
        coordinators.answers_heartbeats.set(true);
        let second = coordinators.put(&method("second"));
        coordinators.until_active(second).await;
        assert_eq!(status(&new, "second").await, 200);
    });
}
