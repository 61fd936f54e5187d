//! Stand-in processes for discovery and for upstreams, configured by a file and queried over HTTP for
//! their traffic.

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

/// Log prefix before the address of the control server, once the stand-in serves.
pub const READY_PREFIX: &str = "stand-in answers on ";

/// Address of upstreams that receive no RPCs: only hollow balancers know them.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StandInConfig {
    /// Discovery: lists by name, and the addresses of those upstreams that have one.
    Discovery { lists: BTreeMap<String, UpstreamList>, places: BTreeMap<String, SocketAddr> },
    /// Upstreams by id, and the limit of each tenant over all of them.
    Upstreams { ids: Vec<String>, whole: f64, beside: usize },
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamList {
    /// Ids and zones.
    pub upstreams: Vec<(String, String)>,
    /// A separate address for each kind, so that their traffic is counted separately.
    pub kinds: Vec<String>,
}

/// RPCs executed by the upstreams.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ExecutionCounts {
    pub count: u64,
    pub of_tenants: u64,
    /// Seconds in which all balancers together exceeded a tenant's limit and what may be saved up.
    pub beyond: u64,
}

/// Bytes and messages by kind.
pub type TrafficByKind = BTreeMap<String, (u64, u64)>;

/// Serves until killed. Once all servers run, their addresses by id or by `LIST KIND` are written to
/// `path` with the extension `.out`.
pub fn run(path: &Path) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(io_error)?;
    let config: StandInConfig =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (places, control_address) = match config {
            StandInConfig::Discovery { lists, places } => discovery(any_port, lists, &places).await,
            StandInConfig::Upstreams { ids, whole: limit, beside: allowance } => {
                upstreams(any_port, &ids, LimitChecker::new(limit, allowance)).await
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

/// A published list: its entries with the last upstream serving and draining, and which of them is
/// current.
struct PublishedList {
    entries: [String; 2],
    drains: bool,
    servers: Vec<(String, Rc<StubDiscovery>)>,
}

async fn discovery(
    any_port: SocketAddr,
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
            let server = StubDiscovery::start(any_port, entries[0].clone()).await?;
            out.insert(format!("{name} {kind}"), server.address);
            servers.push((kind, server));
        }
        all.insert(name, RefCell::new(PublishedList { entries, drains: false, servers }));
    }
    let control_address = serve_stub(any_port, move |request: &Message| {
        if let Some(name) = request.target.strip_prefix("/tell/") {
            // The last upstream drains or serves again, and all watchers get the new list.
            let Some(list) = all.get(name) else { return Reply::Send(response(404, "", "")) };
            let list = &mut *list.borrow_mut();
            list.drains = !list.drains;
            let entries = &list.entries[usize::from(list.drains)];
            list.servers.iter().for_each(|(_, server)| server.publish(entries.clone()));
            return Reply::Send(response(200, "", ""));
        }
        let mut traffic = TrafficByKind::new();
        for list in all.values() {
            for (kind, server) in &list.borrow().servers {
                let (sum, Traffic { bytes, messages }) =
                    (traffic.entry(kind.clone()).or_default(), server.traffic());
                *sum = (sum.0 + bytes, sum.1 + messages);
            }
        }
        json_response(&traffic)
    });
    Ok((out, control_address.await?))
}

/// The load puts the tenant, if any, into the RPC's id.
fn record_attempt((count, checker): &mut (ExecutionCounts, LimitChecker), request: &Message, at: Duration) {
    count.count += 1;
    if let Some((tenant, _)) = request.header("req-id").and_then(|id| id.split_once('.')) {
        count.of_tenants += 1;
        checker.record(tenant, at);
    }
}

async fn upstreams(any_port: SocketAddr, ids: &[String], checker: LimitChecker) -> StartedStandIn {
    let counts = Rc::new(RefCell::new((ExecutionCounts::default(), checker)));
    let mut out = BTreeMap::new();
    let started = Instant::now();
    for id in ids {
        let listener = TcpListener::bind(any_port).await?;
        out.insert(id.clone(), listener.local_addr()?);
        let counts = Rc::clone(&counts);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counts = Rc::clone(&counts);
                spawn_local(async move {
                    let mut peer = Connection::new(stream);
                    let response = response(200, "Srv-Load: util=0.10\r\n", "whole");
                    while let Ok(Some(request)) = peer.read().await {
                        record_attempt(&mut counts.borrow_mut(), &request, started.elapsed());
                        if peer.write(&response).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    let control_address = serve_stub(any_port, move |_: &Message| {
        let (count, checker) = &*counts.borrow();
        json_response(&ExecutionCounts { beyond: checker.violations(), ..count.clone() })
    });
    Ok((out, control_address.await?))
}
