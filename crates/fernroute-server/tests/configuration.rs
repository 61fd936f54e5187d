//! A balancer that goes by the configuration of its fleet: a real process, stewards that are stand-ins.

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
use process::{folder, Program};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a stand-in answers who fetches.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Well,
    Behind,
    /// A content is not what its hash says.
    Spoilt,
    Silent,
}

/// Stewards that agree: one register, several doors.
struct Stewards {
    at: Vec<SocketAddr>,
    register: RefCell<Register>,
    /// Whether they know anything of configuration; those of an older version do not.
    know: Cell<bool>,
    ways: RefCell<Vec<Way>>,
    /// Whether they answer beats.
    answer: Cell<bool>,
    beats: RefCell<Vec<Heartbeat>>,
    fetches: Cell<usize>,
}

impl Stewards {
    async fn start(count: usize) -> Rc<Self> {
        let slot: Rc<RefCell<Option<Rc<Stewards>>>> = Rc::default();
        let mut at = Vec::new();
        for n in 0..count {
            let slot = Rc::clone(&slot);
            let door = start_stub(move |_, message| match &*slot.borrow() {
                Some(stewards) => stewards.say(n, message),
                None => Reply::NoReply,
            });
            at.push(door.await.address);
        }
        let stewards = Rc::new(Stewards {
            at,
            register: RefCell::default(),
            know: Cell::new(true),
            ways: RefCell::new(vec![Way::Well; count]),
            answer: Cell::new(true),
            beats: RefCell::default(),
            fetches: Cell::new(0),
        });
        slot.replace(Some(Rc::clone(&stewards)));
        stewards
    }

    fn say(&self, n: usize, message: &Message) -> Reply {
        let json = |what: String| Reply::Send(response(200, "", &what));
        if message.target == FETCH_PATH {
            self.fetches.set(self.fetches.get() + 1);
            let asked: Envelope<FetchRequest> = serde_json::from_slice(&message.body).expect("a fetch");
            let mut fetched = self.register.borrow().fetch(&asked.message);
            match self.ways.borrow()[n] {
                Way::Well => {}
                Way::Behind => fetched = FetchReply::Behind,
                Way::Silent => return Reply::NoReply,
                Way::Spoilt => {
                    if let FetchReply::Entries { entries: parts, .. } = &mut fetched {
                        parts.iter_mut().for_each(|part| part.content = method("spoilt"));
                    }
                }
            }
            return json(serde_json::to_string(&fetched).expect("JSON"));
        }
        if !self.answer.get() {
            return Reply::NoReply;
        }
        let beat: Envelope<Heartbeat> = serde_json::from_slice(&message.body).expect("a beat");
        let beat = beat.message;
        let version = beat.configuration.as_ref().filter(|_| self.know.get()).and_then(|report| {
            let ConfigurationReport { service, zone, active: in_force, .. } = report.clone();
            let place = Target { name: beat.name.clone(), service, zone };
            Some(self.register.borrow().version_for(&place)).filter(|version| *version != in_force)
        });
        let grant = Grant { epoch: 1, ..Grant::default() };
        let (shares_for, floors_for) = (30_000, 120_000);
        let said: Result<HeartbeatReply, HeartbeatError> = Ok(HeartbeatReply {
            identity: beat.identity,
            number: beat.number,
            grant,
            quotas_valid_for: shares_for,
            guaranteed_valid_for: floors_for,
            configuration: version,
            duties: None,
        });
        self.beats.borrow_mut().push(beat);
        json(serde_json::to_string(&said).expect("JSON"))
    }

    /// Enters a part for all of the service.
    fn put(&self, content: &str) -> u64 {
        self.put_for("service/shop", content)
    }

    fn put_for(&self, scope: &str, content: &str) -> u64 {
        let mut register = self.register.borrow_mut();
        let scope: Scope = scope.parse().expect("a scope");
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
            .expect("it is entered")
    }

    fn report(&self) -> ConfigurationReport {
        let beats = self.beats.borrow();
        beats.last().and_then(|beat| beat.configuration.clone()).unwrap_or_default()
    }

    async fn until_in_force(&self, version: u64) {
        wait_until(|| self.report().active == version).await;
    }

    async fn until_refused(&self, version: u64) -> String {
        wait_until(|| self.report().rejected.is_some_and(|(refused, _)| refused == version)).await;
        self.report().rejected.map(|(_, why)| why).unwrap_or_default()
    }
}

fn method(name: &str) -> String {
    format!("[[method]]\nname = \"{name}\"\neffect = \"retriable\"\nhard_ms = 3000\n")
}

/// The balancer's own file knows `look` alone.
fn page(up: SocketAddr, stewards: &[SocketAddr], fleet: &str) -> String {
    let stewards: Vec<String> = stewards.iter().map(|at| format!("\"{at}\"")).collect();
    format!(
        "name = \"n0\"\nlisten = \"127.0.0.1:0\"\nops = \"127.0.0.2:0\"\ndiscovery = \"127.0.0.1:9\"\n[place]\nzone = \"z\"\n\
         [fleet]\ncluster = \"c\"\nstewards = [{}]\nbeat_ms = 30\n{fleet}\n\
         [rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
         [[upstream]]\nid = \"u\"\naddress = \"{up}\"\nzone = \"z\"\n\
         [[tenant]]\nname = \"acme\"\nrate = 100\n{}",
        stewards.join(", "),
        method("look"),
    )
}

const SHOP: &str = "service = \"shop\"";

/// The copy beside the file that says who the balancer is.
fn copy(folder: &Path) -> PathBuf {
    folder.join("fernroute-n0-127.0.0.1_0.configuration")
}

async fn status(program: &Program, method: &str) -> u16 {
    send_and_read(program.address, rpc_head("GET", &format!("/{method}"), "Connection: close\r\n"))
        .await
        .status()
}

async fn figures(program: &Program) -> serde_json::Value {
    let answer = send_and_read(program.door, "GET /-/metrics HTTP/1.1\r\nHost: n0\r\n\r\n").await;
    serde_json::from_slice(&answer.body).expect("JSON")
}

/// Guards against a change that is said to be in force and shows nowhere, against SIGHUP that takes the fleet's parts away,
/// and against a fleet's parts that outlive their end.
#[test]
fn a_change_shows_and_sighup_between_changes_keeps_what_is_in_force() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(2).await);
        let text = page(up.address, &stewards.at, SHOP);
        let program = Program::start(&folder("change"), &text).await;
        assert_eq!((status(&program, "look").await, status(&program, "pay").await), (200, 404));
        let first = stewards.put(&(method("look") + &method("pay")));
        stewards.until_in_force(first).await;
        assert_eq!(status(&program, "pay").await, 200);
        // Its own file has another method now, and the fleet's list of them stands over it.
        program.reload(&text.replace("\"look\"", "\"other\"").replace("rate = 100", "rate = 50"));
        wait_until(|| program.log_contains("reloaded")).await;
        assert_eq!((status(&program, "pay").await, status(&program, "other").await), (200, 404));
        // A narrower part's list takes the place of a wider one's.
        let second = stewards.put_for("service/shop/zone/z", &method("zoned"));
        stewards.until_in_force(second).await;
        assert_eq!((status(&program, "pay").await, status(&program, "zoned").await), (404, 200));
        // What concerns others is nothing to it.
        stewards.put_for("service/shop/zone/y", &method("elsewhere"));
        stewards.put_for("balancer/n1", &method("elsewhere"));
        let fetches = stewards.fetches.get();
        let beats = stewards.beats.borrow().len();
        wait_until(|| stewards.beats.borrow().len() > beats + 5).await;
        assert_eq!((stewards.fetches.get(), stewards.report().active), (fetches, second));
        stewards.put_for("service/shop/zone/z", "");
        let last = stewards.put("");
        stewards.until_in_force(last).await;
        assert_eq!((status(&program, "other").await, status(&program, "look").await), (200, 404));
        let fleet = figures(&program).await["fleet"].clone();
        assert_eq!(
            (&fleet["configuration"]["in_force"], &fleet["configuration"]["kept"]),
            (&last.into(), &true.into())
        );
        assert!(
            fleet["beats"].as_u64() > fleet["fetches"].as_u64() && fleet["sent_bytes"].as_u64() > Some(1000)
        );
        // A line for each change, none for each beat.
        assert!(program.log().len() < 25, "{:?}", program.log());
    });
}

/// Guards against a part of a change, and against one that is asked for again and again where it can't load.
#[test]
fn what_does_not_load_over_its_own_file_is_refused_with_the_reason_and_the_next_heals_it() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(2).await);
        let text = page(up.address, &stewards.at, SHOP);
        let program = Program::start(&folder("refused"), &text).await;
        let first = stewards.put(&method("first"));
        stewards.until_in_force(first).await;
        // Fine by itself; where the list must be asked for it must be said within what time, and this file does not.
        let bad = stewards.put(&(method("bad") + "[limits]\ncancel = 3\n"));
        let why = stewards.until_refused(bad).await;
        assert!(
            why.contains("limits.cancel") && why.contains("(service/shop)") && !why.contains('\n'),
            "{why}"
        );
        assert_eq!((status(&program, "first").await, status(&program, "bad").await), (200, 404));
        assert_eq!(stewards.report().active, first);
        let (fetches, beats) = (stewards.fetches.get(), stewards.beats.borrow().len());
        wait_until(|| stewards.beats.borrow().len() > beats + 10).await;
        assert_eq!(stewards.fetches.get(), fetches);
        assert_eq!(program.log_count("was rejected"), 1);
        let refused = figures(&program).await["fleet"]["configuration"]["refused"].clone();
        assert_eq!(refused[0], bad);
        let third = stewards.put(&method("third"));
        stewards.until_in_force(third).await;
        assert_eq!((status(&program, "third").await, stewards.report().rejected), (200, None));
        // What is each balancer's own no steward can change.
        let own = stewards.put(&(method("own") + "[place]\nzone = \"y\"\n"));
        assert!(stewards.until_refused(own).await.contains("place: belongs in each balancer's own file"));
    });
}

/// Guards against an operator who mends a balancer's own file and has to enter the fleet's change again.
#[test]
fn a_file_that_is_mended_has_what_was_refused_loaded_and_one_that_clashes_changes_nothing() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(1).await);
        let text = page(up.address, &stewards.at, SHOP);
        let program = Program::start(&folder("mended"), &text).await;
        let asks = stewards.put("[list]\nmode = \"ask\"\n");
        let why = stewards.until_refused(asks).await;
        assert!(why.contains("list.ask_within_s"), "{why}");
        let mended = text.replace("[rules]", "[list]\nask_within_s = 2\n[rules]");
        program.reload(&mended);
        stewards.until_in_force(asks).await;
        // Without it again: what the fleet says would not load any more.
        program.reload(&text.replace("\"look\"", "\"other\""));
        wait_until(|| program.log_contains("reload rejected, nothing has changed")).await;
        assert_eq!((status(&program, "look").await, status(&program, "other").await), (200, 404));
        assert_eq!(stewards.report().active, asks);
    });
}

/// Guards against a balancer that waits for one steward, takes what is spoilt or old, or asks all too often.
#[test]
fn a_steward_that_is_behind_silent_or_spoils_is_passed_over() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(4).await);
        let program = Program::start(&folder("ways"), &page(up.address, &stewards.at, SHOP)).await;
        stewards.ways.replace(vec![Way::Behind, Way::Spoilt, Way::Well, Way::Silent]);
        for n in 0..4 {
            let name = format!("m{n}");
            let version = stewards.put(&method(&name));
            stewards.until_in_force(version).await;
            assert_eq!(status(&program, &name).await, 200);
        }
        stewards.ways.replace(vec![Way::Behind, Way::Spoilt, Way::Spoilt, Way::Behind]);
        let last = stewards.put(&method("last"));
        let fetches = stewards.fetches.get();
        wait_until(|| stewards.fetches.get() >= fetches + 12).await;
        assert_eq!((status(&program, "m3").await, status(&program, "spoilt").await), (200, 404));
        assert_eq!(stewards.report().rejected, None);
        stewards.ways.replace(vec![Way::Well; 4]);
        stewards.until_in_force(last).await;
    });
}

/// Guards against stewards of an older version that have a balancer wait, or ask for what is not there.
#[test]
fn stewards_that_know_nothing_of_it_change_nothing() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(1).await);
        stewards.know.set(false);
        stewards.put(&method("new"));
        let program = Program::start(&folder("older"), &page(up.address, &stewards.at, SHOP)).await;
        assert!(!program.log_contains("no current configuration from the coordinators"));
        wait_until(|| stewards.beats.borrow().len() > 10).await;
        assert_eq!((status(&program, "look").await, stewards.fetches.get()), (200, 0));
        // One that follows none reports none, and is told of none.
        stewards.know.set(true);
        let other = Program::start(&folder("none"), &page(up.address, &stewards.at, "")).await;
        let beats = stewards.beats.borrow().len();
        wait_until(|| {
            stewards.beats.borrow()[beats..].iter().filter(|b| b.configuration.is_none()).count() > 3
        })
        .await;
        assert_eq!(status(&other, "new").await, 404);
        stewards.until_in_force(1).await;
    });
}

/// Guards against a start that needs stewards, goes by what is damaged, or waits without end.
#[test]
fn a_start_without_stewards_goes_by_the_sound_copy_within_its_time() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(2).await);
        let folder = folder("copy");
        let text = page(up.address, &stewards.at, &format!("{SHOP}\nwait_ms = 300"));
        let program = Program::start(&folder, &text).await;
        stewards.put_for("all", "[limits]\ncancel = true\n");
        let version = stewards.put(&method("kept"));
        stewards.until_in_force(version).await;
        program.kill();
        stewards.answer.set(false);
        let (path, whole) = (copy(&folder), std::fs::read_to_string(copy(&folder)).expect("it is kept"));
        let names = std::fs::read_dir(&folder).expect("a folder").flatten();
        let left =
            names.filter(|entry| entry.file_name().to_string_lossy().contains(".configuration.")).count();
        assert_eq!(left, 0, "what is written beside it is gone");
        let from = Instant::now();
        let program = Program::start(&folder, &text).await;
        assert!(from.elapsed() >= Duration::from_millis(300));
        assert!(program.log_contains(&format!("configuration {version} is in force, from the cache")));
        assert!(program.log_contains("no current configuration from the coordinators in time"));
        assert_eq!((status(&program, "kept").await, status(&program, "look").await), (200, 404));
        program.kill();
        let cut = &whole[..whole.len() / 2];
        let other = whole.replacen("kept", "cept", 1);
        for damaged in [cut, "", "{}", &other, &whole.replace("\"z\"", "\"y\""), "\u{0}"] {
            std::fs::write(&path, damaged).expect("a file");
            let program = Program::start(&folder, &text).await;
            assert_eq!(program.log_count("cached configuration ignored: "), 1, "{:?}", program.log());
            assert_eq!((status(&program, "kept").await, status(&program, "look").await), (404, 200));
            program.kill();
        }
        // Sound, and not to be laid over what its own file says by now.
        std::fs::write(&path, &whole).expect("a file");
        let program =
            Program::start(&folder, &text.replace("zone = \"z\"\n[fleet]", "zone = \"x\"\n[fleet]")).await;
        assert_eq!(program.log_count("cached configuration ignored: not for balancer n0"), 1);
        program.kill();
        // The stewards are back: their word goes into force before it serves.
        stewards.answer.set(true);
        let newer = stewards.put(&method("newer"));
        let program = Program::start(&folder, &text.replace("wait_ms = 300", "wait_ms = 5000")).await;
        assert_eq!((status(&program, "newer").await, status(&program, "kept").await), (200, 404));
        stewards.until_in_force(newer).await;
    });
}

/// Guards against a balancer that goes by what was replaced because its disk is full, and one that says so at each beat.
#[test]
fn what_the_disk_does_not_take_is_in_force_and_told_once() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(1).await);
        let folder = folder("disk");
        let place = folder.join("gone");
        let text = page(up.address, &stewards.at, &format!("{SHOP}\nfolder = \"{}\"", place.display()));
        let program = Program::start(&folder, &text).await;
        for n in 0..3 {
            let version = stewards.put(&method(&format!("m{n}")));
            stewards.until_in_force(version).await;
            assert_eq!(status(&program, &format!("m{n}")).await, 200);
        }
        assert_eq!(program.log_count("in force but not cached"), 1, "{:?}", program.log());
        assert_eq!(figures(&program).await["fleet"]["configuration"]["kept"], false);
        std::fs::create_dir(&place).expect("a folder");
        let version = stewards.put(&method("last"));
        stewards.until_in_force(version).await;
        assert_eq!(program.log_count("is cached, writes to the cache work again"), 1);
        program.kill();
        stewards.answer.set(false);
        let program = Program::start(&folder, &text).await;
        assert_eq!(status(&program, "last").await, 200);
        // Nothing can be written at all.
        stewards.answer.set(true);
        stewards.until_in_force(version).await;
    });
}

/// Guards against an RPC that is ended by a change of what its method is, or taken under terms that are no more.
#[test]
fn rpcs_in_flight_keep_what_they_were_taken_under_and_none_is_lost() {
    run(async {
        let slow = |_, message: &Message| match message.target.as_str() {
            "/look" => Reply::NoReply,
            _ => ok("whole"),
        };
        let (up, stewards) = (start_stub(slow).await, Stewards::start(2).await);
        let program = Program::start(&folder("flight"), &page(up.address, &stewards.at, SHOP)).await;
        let pay = "[[method]]\nname = \"pay\"\neffect = \"non_retriable\"\nhard_ms = 3000\n";
        let first = stewards.put(&(method("look") + pay));
        stewards.until_in_force(first).await;
        // Under three seconds, and open while its method is cut to a fifth of one, then to nothing.
        let from = Instant::now();
        let mut open = send(program.address, rpc_head("GET", "/look", "")).await;
        wait_until(|| up.received.borrow().iter().any(|seen| seen.target == "/look")).await;
        let load = CallerLoad::start(4, program.address);
        for n in 0..12 {
            let short = method("look").replace("3000", "200");
            let version = stewards.put(&if n % 2 == 0 { short + pay } else { pay.to_owned() });
            load.wait_for_answers(20).await;
            stewards.until_in_force(version).await;
        }
        load.finish().await;
        assert_eq!(status(&program, "look").await, 404);
        let end = read_message(&mut open).await.expect("an answer");
        assert!(from.elapsed() > Duration::from_millis(2500), "{:?} {}", from.elapsed(), end.head);
        assert_ne!(end.status(), 404);
        let figures = figures(&program).await;
        assert_eq!(figures["outstanding"], 0);
    });
}

/// Guards against shares that are asked for tenants of before alone: a new one would have nothing for ever, and one that is gone
/// would have all that is granted refused.
#[test]
fn what_is_asked_of_the_stewards_follows_a_change_of_tenants() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(1).await);
        let text = page(up.address, &stewards.at, SHOP);
        let program = Program::start(&folder("tenants"), &text).await;
        let asked = || -> Vec<String> {
            let beats = stewards.beats.borrow();
            beats.last().map(|beat| beat.demand.keys().cloned().collect()).unwrap_or_default()
        };
        wait_until(|| asked() == ["acme"]).await;
        let tenant = |name: &str| format!("[[tenant]]\nname = \"{name}\"\nrate = 10\n");
        let version = stewards.put(&(tenant("acme") + &tenant("bolt")));
        stewards.until_in_force(version).await;
        wait_until(|| asked() == ["acme", "bolt"]).await;
        stewards.put(&tenant("bolt"));
        wait_until(|| asked() == ["bolt"]).await;
        // By SIGHUP the same: the fleet says nothing of tenants any more.
        stewards.put("");
        wait_until(|| asked() == ["acme"]).await;
        program.reload(&text.replace("\"acme\"", "\"dart\""));
        wait_until(|| asked() == ["dart"]).await;
        let beats = stewards.beats.borrow().len();
        wait_until(|| stewards.beats.borrow().len() > beats + 3).await;
        assert!(!program.log_contains("nothing has changed"), "{:?}", program.log());
    });
}

/// Guards against an upgrade in which the new process serves by less than the old one did.
#[test]
fn a_successor_begins_with_what_the_process_before_it_had_in_force() {
    run(async {
        let (up, stewards) = (start_stub(|_, _| ok("whole")).await, Stewards::start(1).await);
        let folder = folder("successor");
        let text = page(up.address, &stewards.at, &format!("{SHOP}\nwait_ms = 200"));
        let old = Program::start(&folder, &text).await;
        let first = stewards.put(&method("first"));
        stewards.until_in_force(first).await;
        stewards.answer.set(false);
        let new = Program::start(&folder, &text).await;
        assert!(
            new.log_contains(&format!("configuration {first} is in force, from the cache")),
            "{:?}",
            new.log()
        );
        assert!(new.log_contains("taking over"));
        assert_eq!((status(&new, "first").await, status(&new, "look").await), (200, 404));
        old.ends_well().await;
        stewards.answer.set(true);
        let second = stewards.put(&method("second"));
        stewards.until_in_force(second).await;
        assert_eq!(status(&new, "second").await, 200);
    });
}
