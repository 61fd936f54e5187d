//! The estimate of demand from recent requests.

use fernroute::host::SECOND;
use fernroute_fleet::demand::DemandMeter;

/// Guards against quotas that follow each burst, and against quotas that stay after demand has ended.
#[test]
fn a_steady_demand_is_estimated_closely_and_a_change_is_followed_soon() {
    let mut meter = DemandMeter::new(0);
    assert_eq!(meter.demand(0), 0);
    let mut now = 0;
    let mut send_requests = |meter: &mut DemandMeter, per_second: u64, seconds: u64| {
        for request in 0..per_second * seconds {
            // Requests arrive in bursts of five.
            now += if request % 5 == 0 { 5 * SECOND / per_second } else { 0 };
            meter.count(now);
            if request % 5 == 0 {
                meter.demand(now);
            }
        }
        meter.demand(now)
    };
    let steady = send_requests(&mut meter, 50, 10);
    assert!((46_000..=54_000).contains(&steady), "{steady}");
    let increased = send_requests(&mut meter, 200, 2);
    assert!((150_000..=220_000).contains(&increased), "{increased}");
    let decreased = send_requests(&mut meter, 10, 3);
    assert!((5_000..=30_000).contains(&decreased), "{decreased}");
    assert!(meter.demand(now + 5 * SECOND) < 1_000);
}
