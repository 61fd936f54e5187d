//! Cold upstreams: the referee's overload threshold, some seeds of the experiment, and a live run with twenty balancers.

mod common;

use common::{folder, Folder};
use fernroute::Time;
use fernroute_testbed::experiment::cold::{run_scenario, with_balancers};
use fernroute_testbed::live;
use fernroute_testbed::referee::cold::{fall_threshold, ColdWindow};
use fernroute_testbed::referee::{Referee, Rule};
use fernroute_testbed::scenario::{seconds, Scenario};
use fernroute_testbed::trace::{EndpointState, Event, Observer as _};
use std::rc::Rc;

fn scenario(name: &str) -> Scenario {
    Scenario::read(&folder().join(format!("{name}.toml"))).expect("a valid scenario")
}

/// Upstream 7 starts cold at 10 s. Half a second later it receives `rpcs` RPCs of this work, `told` of them from balancer 1,
/// which knows of the start. Returns the referee's violations and the worst window.
fn judge(rpcs: usize, told: usize, work: f64) -> (Vec<Rule>, Option<ColdWindow>) {
    let scenario = scenario("cold-join-short");
    let (mut referee, started) = (Referee::new(&scenario), seconds(10.0));
    let start = Event::Started { upstream: 7, zone: 0, cell: 0, rate: 5.0, cold: true };
    referee.observe(started, &start);
    referee.observe(started, &Event::Heard { balancer: 1, upstream: 7, told: EndpointState::Ready });
    for n in 0..rpcs {
        let (at, balancer): (Time, usize) = (started + seconds(0.5), if n < told { 1 } else { 2 });
        let rpc: Rc<str> = Rc::from(format!("r{n}"));
        referee.observe(
            at,
            &Event::Arrived { rpc: Rc::clone(&rpc), balancer, method: 0, hard: at + 1, tenant: None },
        );
        referee.observe(at, &Event::Sent { rpc: Rc::clone(&rpc), attempt: 0, balancer, upstream: 7, work });
        referee.observe(at, &Event::CallerLeft { rpc });
    }
    let rules = referee.violations.iter().map(|b| b.rule).collect();
    referee.finish(started + seconds(1.0));
    (rules, referee.cold_starts.first().copied())
}

/// Guards against a referee that misses an overload as the operators define it, or blames balancers that were not told of
/// the start.
#[test]
fn the_overload_threshold_is_the_allowed_work_plus_two_square_roots_and_two() {
    // In the middle of the window the capacity is 13% plus a quarter of a second of a 24 s ramp over 87%: N is 2.78, and the
    // threshold is 8.1.
    let allowed = 4.0 * 5.0 * (0.13 + 0.87 * 0.25 / 24.0);
    assert!((8.0..9.0).contains(&fall_threshold(allowed)), "{}", fall_threshold(allowed));
    let (rules, worst) = judge(8, 8, 1.0);
    assert_eq!(rules, []);
    let worst = worst.expect("the upstream received RPCs");
    assert!((worst.allowed - allowed).abs() < 1e-9 && worst.rpcs == 8 && !worst.fell(), "{worst:?}");
    assert_eq!(judge(9, 9, 1.0).0, [Rule::ColdSpared], "reported once, at the overload");
    assert_eq!(judge(20, 20, 1.0).0, [Rule::ColdSpared], "not reported again");
    // RPCs count by their work.
    assert_eq!(judge(5, 5, 2.0).0, [Rule::ColdSpared]);
    assert_eq!(judge(16, 16, 0.5).0, []);
    // Six of nine are exactly two thirds: an overload, but no violation.
    let (rules, worst) = judge(9, 6, 1.0);
    assert!(rules.is_empty() && worst.is_some_and(|w| w.fell()), "{worst:?}");
    assert_eq!(judge(9, 7, 1.0).0, [Rule::ColdSpared]);
}

/// Guards against shares of many balancers that together overload a cold upstream, above all while others are full or dead.
/// `docs/lab/cold.md` has the full experiment with fifty seeds.
#[test]
fn no_cold_upstream_is_overloaded_by_four_twenty_or_thirty_balancers() {
    for name in ["cold-join-short", "cold-return-short", "cold-last-short", "cold-last-long"] {
        for fleet in [(4, 1.0), (20, 1.0), (20, 5.0), (30, 1.0), (30, 5.0)] {
            let mut scenario = with_balancers(&scenario(name), fleet);
            // Constant work: no balancer can predict the effect of a single heavy RPC.
            scenario.method.iter_mut().for_each(|m| m.cv = 0.0);
            let row = run_scenario(&scenario, 2);
            assert!(row.starts >= 16 && row.other_violations == 0, "{name} {fleet:?}");
            assert_eq!(row.fell, 0, "{name} {fleet:?}: {:?}", row.worst);
        }
    }
}

/// Guards against overload by real processes that the simulation does not show: twenty balancers share the load that eight
/// of ten upstreams may receive after they restart cold at the same time.
#[test]
fn twenty_real_balancers_overload_no_cold_upstream() {
    let files = Folder::new("cold-live");
    let own = env!("CARGO_BIN_EXE_fernroute-testbed");
    let [program, steward] = ["balancer", "steward"].map(|role| [own.to_owned(), role.to_owned()]);
    let scenario = common::decode(
        "name = \"cold-live\"\nseconds = 13\nload = { rate = 50, retries = 1 }\n\
         discovery = { late_ms = 200, gone_late_ms = 400, spread_ms = 100 }\n\
         rules = { cold_from = 0.15, warm_within_s = 12, cold_multiple = 4, cold_window_s = 1 }\n\
         [[method]]\nname = \"look\"\neffect = \"retriable\"\nshare = 1\nwork_ms = 150\nspread = \"fixed\"\nsoft_ms = 1500\n\
         hard_ms = 3000\n\
         [[tier]]\nname = \"only\"\nupstreams = 10\nbalancers = 20\ncores = 1\nslots = 12\nqueue = 4\nreport_ms = 200\n\
         [[fault]]\nkind = \"crash\"\nat_s = 3
for_s = 2
part = 0.8\n\
         [[fault]]\nkind = \"fast_errors\"\nat_s = 2\nfor_s = 4\npart = 0.1\nsize = 0.7\n",
    );
    let report = live::run(&scenario, 1, &program, &steward, &files.0).expect("the run completes");
    assert_eq!(report.violations, []);
    let starts = &report.cold_starts;
    for w in starts {
        println!(
            "upstream {}: {} RPCs in its worst window, N {:.1}, threshold {:.1}",
            w.upstream,
            w.rpcs,
            w.allowed,
            fall_threshold(w.allowed)
        );
    }
    // All of them restarted and received RPCs.
    assert!(starts.len() == 8 && starts.iter().all(|w| w.rpcs > 0 && !w.fell()), "{starts:?}");
    assert!(starts.iter().all(|w| w.allowed < 30.0), "small share for each of twenty balancers: {starts:?}");
}
