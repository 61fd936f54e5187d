//! Checks the simulator against theory: waiting times, Little's law, conservation of RPCs, reproducibility by seed.

mod common;

use common::{queue, shipped, small};
use fernroute::Time;
use fernroute_testbed::experiment::Estimate;
use fernroute_testbed::policy::Variant;
use fernroute_testbed::referee::cold::ColdWindow;
use fernroute_testbed::referee::Rule;
use fernroute_testbed::run::{run, run_with_policy};
use fernroute_testbed::scenario::Scenario;
use fernroute_testbed::trace::{Event, Observer};

/// Mean time in an M/M/c system by Erlang's C formula, from the arrival rate and the mean service time.
fn time_in_system(rate: f64, work: f64, cores: usize) -> f64 {
    let load = rate * work;
    let (mut term, mut sum) = (1.0, 0.0);
    for n in 0..cores {
        sum += term;
        term *= load / (n + 1) as f64;
    }
    let free = 1.0 - load / cores as f64;
    let waits = term / free / (sum + term / free);
    work + waits * work / (cores as f64 * free)
}

#[test]
fn the_erlang_c_formula_is_right_for_one_and_two_servers() {
    // One server: work / (1 - load). Two servers: work / (1 - load²/4).
    assert!((time_in_system(5.0, 0.1, 1) - 0.2).abs() < 1e-12);
    assert!((time_in_system(10.0, 0.1, 2) - 0.1 / 0.75).abs() < 1e-12);
}

#[test]
fn waiting_times_match_queues_with_one_and_more_servers() {
    for (rate, work_ms, cores, long) in
        [(12.0, 50.0, 1, 900.0), (30.0, 50.0, 2, 600.0), (140.0, 40.0, 8, 120.0)]
    {
        let scenario = queue(rate, work_ms, cores, long);
        let mean = |seed: u64| {
            let metrics = run(&scenario, Variant::Random, seed).metrics;
            metrics.time_in_system as f64 / metrics.ends.completed as f64 / 10.0
        };
        let seen = Estimate::of(&(1..=12).map(mean).collect::<Vec<f64>>());
        let known = time_in_system(rate, work_ms / 1000.0, cores) * 1000.0;
        // The interval must also be narrow enough for the comparison to be meaningful.
        assert!(seen.half_width < 0.08 * known, "{cores} cores: {} ± {} ms", seen.mean, seen.half_width);
        assert!(
            (seen.mean - known).abs() <= seen.half_width,
            "{cores}: {} ± {}, not {known}",
            seen.mean,
            seen.half_width
        );
    }
}

/// Integrates the number of RPCs in the system over time.
#[derive(Default)]
struct OccupancyIntegral {
    now: u64,
    last: Time,
    area: u128,
    arrived: u64,
}

impl Observer for OccupancyIntegral {
    fn observe(&mut self, at: Time, event: &Event) {
        self.area += u128::from(self.now) * u128::from(at - self.last);
        self.last = at;
        match event {
            Event::Arrived { .. } => (self.now, self.arrived) = (self.now + 1, self.arrived + 1),
            Event::Answered { .. } => self.now -= 1,
            _ => {}
        }
    }
}

#[test]
fn littles_law_holds_between_independent_counts() {
    let scenario = queue(32.0, 50.0, 2, 600.0);
    let make =
        |s: &Scenario, position, actions, now, seed| Variant::Random.policy(s, position, actions, now, seed);
    let mut seen = OccupancyIntegral::default();
    let metrics = run_with_policy(&scenario, 3, &make, &mut seen).metrics;
    let long = seen.last as f64;
    let (mean_number, rate) = (seen.area as f64 / long, seen.arrived as f64 / long);
    // The histogram keeps three significant digits.
    let mean_time = metrics.latencies.mean();
    assert!((mean_number / (rate * mean_time) - 1.0).abs() < 0.002, "{mean_number}, {rate} × {mean_time}");
}

#[test]
fn every_arrival_has_exactly_one_end_in_all_shipped_scenarios() {
    let all = shipped();
    assert!(all.len() >= 8);
    for scenario in &all {
        for variant in [Variant::Fernroute, Variant::Random] {
            let ends = run(scenario, variant, 5).metrics.ends;
            assert_eq!(ends.arrived, ends.sum(), "{} {}", scenario.name, variant.name());
            assert_eq!(ends.open, 0, "{} {}", scenario.name, variant.name());
        }
    }
}

#[test]
fn the_balancer_keeps_all_rules_in_all_shipped_scenarios() {
    for scenario in &shipped() {
        for seed in [1, 2] {
            let result = run(scenario, Variant::Fernroute, seed);
            assert_eq!(result.violations, [], "{} seed {seed}", scenario.name);
            // Except in the scenarios with the smallest allowed numbers, the excess is at most one RPC.
            let few = |w: &&ColdWindow| scenario.name.starts_with("cold-") || w.excess <= 1.0;
            assert!(
                result.cold_starts.iter().all(|w| few(&w)),
                "{}: {:?}",
                scenario.name,
                result.cold_starts
            );
        }
    }
}

fn trace(scenario: &Scenario, variant: Variant, seed: u64) -> Vec<(Time, String)> {
    let make = |s: &Scenario, position, actions, now, seed| variant.policy(s, position, actions, now, seed);
    let mut lines: Vec<(Time, String)> = Vec::new();
    run_with_policy(scenario, seed, &make, &mut lines);
    lines
}

const FAULTS: &str = "[[fault]]\nkind = \"crash\"\nat_s = 3\nfor_s = 3\npart = 0.5\n\
    [[fault]]\nkind = \"surge\"\nat_s = 4\nfor_s = 2\nsize = 3\n\
    [[fault]]\nkind = \"balancer_restart\"\nat_s = 5\nfor_s = 2\n\
    [[fault]]\nkind = \"replace\"\nat_s = 7\nfor_s = 2\npart = 0.5\n";

#[test]
fn equal_seeds_give_equal_traces_in_parallel_runs() {
    let scenario = small(FAULTS);
    for variant in [Variant::Fernroute, Variant::TwoChoices] {
        let alone = trace(&scenario, variant, 9);
        let beside: Vec<_> = std::thread::scope(|scope| {
            let all: Vec<_> = (8..12)
                .map(|seed| {
                    scope.spawn({
                        let scenario = &scenario;
                        move || trace(scenario, variant, seed)
                    })
                })
                .collect();
            all.into_iter().map(|t| t.join().expect("the thread completes")).collect()
        });
        assert!(alone.len() > 1000);
        assert!(alone == beside[1], "the same seed beside others");
        assert!(alone != beside[0], "another seed");
    }
}

/// Demand does not depend on the variant: comparisons are paired by seed.
#[test]
fn demand_is_the_same_for_every_variant() {
    #[derive(Default)]
    struct ArrivalRecorder(Vec<(Time, usize)>);
    impl Observer for ArrivalRecorder {
        fn observe(&mut self, at: Time, event: &Event) {
            if let Event::Arrived { rpc, method, .. } = event {
                if rpc.ends_with(".0") {
                    self.0.push((at, *method));
                }
            }
        }
    }
    let scenario = small(FAULTS);
    let asked = Variant::ALL.map(|variant| {
        let make =
            |s: &Scenario, position, actions, now, seed| variant.policy(s, position, actions, now, seed);
        let mut seen = ArrivalRecorder::default();
        run_with_policy(&scenario, 4, &make, &mut seen);
        seen.0
    });
    assert!(asked[0].len() > 1000 && asked.iter().all(|a| *a == asked[0]));
}

#[test]
fn memory_does_not_grow_with_the_number_of_rpcs() {
    // Time-outs stay scheduled until they are due; short ones let a short run reach the steady state.
    let mut quick = queue(200.0, 5.0, 2, 20.0);
    quick.method[0].soft_ms = 500.0;
    quick.method[0].hard_ms = 1000.0;
    let mut longer = quick.clone();
    longer.seconds = 200.0;
    let held = |s: &Scenario| run(s, Variant::Fernroute, 1).max_held as f64;
    assert!(held(&longer) < 1.5 * held(&quick), "{} after {}", held(&longer), held(&quick));
}

/// Guards against RPCs counted twice or not at all: callers that leave, RPCs open at the end of the run, and overload.
#[test]
fn abandoned_and_rejected_rpcs_are_counted_once() {
    let mut scenario = small("[[fault]]\nkind = \"surge\"\nat_s = 1\nfor_s = 11\nsize = 30\n");
    scenario.load.impatient = 0.3;
    scenario.load.retries = 2;
    for variant in Variant::ALL {
        let run = run(&scenario, variant, 2);
        let ends = run.metrics.ends;
        assert_eq!((ends.arrived, ends.open), (ends.sum(), 0), "{}", variant.name());
        assert!(ends.abandoned > 0 && ends.exhausted + ends.errored > 0, "{}: {ends:?}", variant.name());
        // Also when an answer and the caller's leaving happen at the same instant.
        let wrong: Vec<_> = run.violations.iter().filter(|b| b.rule == Rule::OneAnswer).collect();
        assert!(wrong.is_empty(), "{}: {wrong:?}", variant.name());
        let offered: u64 = run.metrics.methods.iter().map(|m| m.offered).sum();
        assert!(offered > 20_000, "{offered}");
    }
}

#[test]
fn a_balancer_restart_loses_only_the_rpcs_it_held() {
    let ends =
        run(&small("[[fault]]\nkind = \"balancer_restart\"\nat_s = 5\nfor_s = 2\n"), Variant::Fernroute, 1);
    assert_eq!(ends.violations, []);
    assert!((1..=20).contains(&ends.metrics.ends.lost), "{:?}", ends.metrics.ends);
}
