//! What a member could use of a budget, told by what was asked of it lately.

use fernroute::host::SECOND;
use fernroute_fleet::demand::DemandMeter;

/// Guards against shares that follow bunches, and against shares that stay where nobody asks any more.
#[test]
fn a_steady_rate_is_told_closely_and_a_change_soon() {
    let mut meter = DemandMeter::new(0);
    assert_eq!(meter.demand(0), 0);
    let mut now = 0;
    let mut ask = |meter: &mut DemandMeter, rate: u64, for_s: u64| {
        for n in 0..rate * for_s {
            // In bunches of five.
            now += if n % 5 == 0 { 5 * SECOND / rate } else { 0 };
            meter.count(now);
            if n % 5 == 0 {
                meter.demand(now);
            }
        }
        meter.demand(now)
    };
    let steady = ask(&mut meter, 50, 10);
    assert!((46_000..=54_000).contains(&steady), "{steady}");
    let more = ask(&mut meter, 200, 2);
    assert!((150_000..=220_000).contains(&more), "{more}");
    let less = ask(&mut meter, 10, 3);
    assert!((5_000..=30_000).contains(&less), "{less}");
    assert!(meter.demand(now + 5 * SECOND) < 1_000);
}
