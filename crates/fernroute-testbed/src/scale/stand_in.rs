//! Processes that stand in for discovery and for upstreams, each told by a file what to be, and asked over HTTP how much it had
//! to do.

use super::limit::LimitChecker;
use fernroute_test_support::http::{response, Connection, Message};
use fernroute_test_support::stub::{list_entry, serve_stub, Reply, StubDiscovery};
use fernroute_test_support::Traffic;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

/// What a stand-in says once it serves, before the address that answers for it.
pub const READY_PREFIX: &str = "stand-in answers on ";

/// Where an upstream is that nobody sends anything to: hollow balancers alone know it.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StandInConfig {
    /// Discovery: lists by their names, and upstreams' addresses where they have one.
    Discovery { lists: BTreeMap<String, UpstreamList>, places: BTreeMap<String, SocketAddr> },
    /// Upstreams by their ids, and what all of them may run of each tenant.
    Upstreams { ids: Vec<String>, whole: f64, beside: usize },
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamList {
    /// Ids and zones.
    pub upstreams: Vec<(String, String)>,
    /// An address for each of these, so that what they cost is told apart.
    pub kinds: Vec<String>,
}

/// What upstreams ran.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ExecutionCounts {
    pub count: u64,
    pub of_tenants: u64,
    /// Seconds in which all balancers together ran more of a tenant than its whole, and what they may save up.
    pub beyond: u64,
}

/// Bytes and messages by kind.
pub type TrafficByKind = BTreeMap<String, (u64, u64)>;

/// Serves until it is killed. `page` with `.out` for its ending is written once all is there: addresses by id, or by
/// `LIST KIND`.
pub fn run(path: &Path) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(io_error)?;
    let config: StandInConfig =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (places, control_address) = match config {
            StandInConfig::Discovery { lists, places } => discovery(any, lists, &places).await,
            StandInConfig::Upstreams { ids, whole, beside } => {
                upstreams(any, &ids, LimitChecker::new(whole, beside)).await
            }
        }
        .map_err(io_error)?;
        let text = serde_json::to_string(&places).map_err(|e| e.to_string())?;
        std::fs::write(path.with_extension("out"), text).map_err(io_error)?;
        eprintln!("{READY_PREFIX}{control_address}");
        std::future::pending().await
    })
}

type StartedStandIn = std::io::Result<(BTreeMap<String, SocketAddr>, SocketAddr)>;

fn json_response(what: &impl Serialize) -> Reply {
    let text = serde_json::to_string(what);
    Reply::Send(text.map_or_else(|e| response(500, "", &e.to_string()), |text| response(200, "", &text)))
}

/// A list, its upstreams as discovery tells them, and whether its last one drains.
struct FaultResult {
    entries: [String; 2],
    drains: bool,
    servers: Vec<(String, Rc<StubDiscovery>)>,
}

async fn discovery(
    any: SocketAddr,
    lists: BTreeMap<String, UpstreamList>,
    places: &BTreeMap<String, SocketAddr>,
) -> StartedStandIn {
    let unused: SocketAddr = UNUSED_ADDRESS.parse().map_err(std::io::Error::other)?;
    let (mut out, mut all) = (BTreeMap::new(), BTreeMap::new());
    for (name, list) in lists {
        let entries = |last: &str| {
            let count = list.upstreams.len();
            let each = list.upstreams.iter().enumerate().map(|(n, (id, zone))| {
                let state = if n + 1 == count { last } else { "SERVING" };
                list_entry(id, places.get(id).copied().unwrap_or(unused), zone, state)
            });
            each.collect::<Vec<String>>().join(",")
        };
        let entries = [entries("SERVING"), entries("DRAINING")];
        let mut servers = Vec::new();
        for kind in list.kinds {
            let one = StubDiscovery::start(any, entries[0].clone()).await?;
            out.insert(format!("{name} {kind}"), one.address);
            servers.push((kind, one));
        }
        all.insert(name, RefCell::new(FaultResult { entries, drains: false, servers }));
    }
    let control_address = serve_stub(any, move |asked: &Message| {
        if let Some(name) = asked.target.strip_prefix("/tell/") {
            // Its last upstream drains, or serves again: all who watch it get the list anew.
            let Some(list) = all.get(name) else { return Reply::Send(response(404, "", "")) };
            let list = &mut *list.borrow_mut();
            list.drains = !list.drains;
            let entries = &list.entries[usize::from(list.drains)];
            list.servers.iter().for_each(|(_, one)| one.publish(entries.clone()));
            return Reply::Send(response(200, "", ""));
        }
        let mut asked = TrafficByKind::new();
        for list in all.values() {
            for (kind, one) in &list.borrow().servers {
                let (sum, Traffic { bytes, messages }) =
                    (asked.entry(kind.clone()).or_default(), one.traffic());
                *sum = (sum.0 + bytes, sum.1 + messages);
            }
        }
        json_response(&asked)
    });
    Ok((out, control_address.await?))
}

/// The load names an RPC by its tenant, where it has one.
fn record_attempt((count, whole): &mut (ExecutionCounts, LimitChecker), asked: &Message, at: Duration) {
    count.count += 1;
    if let Some((tenant, _)) = asked.header("req-id").and_then(|id| id.split_once('.')) {
        count.of_tenants += 1;
        whole.record(tenant, at);
    }
}

async fn upstreams(any: SocketAddr, ids: &[String], whole: LimitChecker) -> StartedStandIn {
    let ran = Rc::new(RefCell::new((ExecutionCounts::default(), whole)));
    let mut out = BTreeMap::new();
    let from = Instant::now();
    for id in ids {
        let listener = TcpListener::bind(any).await?;
        out.insert(id.clone(), listener.local_addr()?);
        let ran = Rc::clone(&ran);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let ran = Rc::clone(&ran);
                spawn_local(async move {
                    let mut peer = Connection::new(stream);
                    let said = response(200, "Srv-Load: util=0.10\r\n", "whole");
                    while let Ok(Some(asked)) = peer.read().await {
                        record_attempt(&mut ran.borrow_mut(), &asked, from.elapsed());
                        if peer.write(&said).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    let control_address = serve_stub(any, move |_: &Message| {
        let (count, whole) = &*ran.borrow();
        json_response(&ExecutionCounts { beyond: whole.violations(), ..count.clone() })
    });
    Ok((out, control_address.await?))
}
