//! The duration of a lease by its holder's clock and by the leader's.

use fernroute_fleet::lease::Lease;

/// Guards against a leader that grants again what a holder with the slowest clock still uses.
#[test]
fn the_leader_waits_longer_than_the_slowest_holder_whatever_its_own_clock() {
    for duration in [1, 9_999, 15_000, 36_000_000] {
        for drift_ppm in [0, 1, 200, 10_000] {
            let lease = Lease { duration, drift_ppm };
            let drift = f64::from(drift_ppm) / 1e6;
            let slowest_holder = duration as f64 / (1.0 - drift);
            assert!(lease.expires_after() as f64 / (1.0 + drift) >= slowest_holder, "{lease:?}");
            assert!(lease.expires_after() <= duration + duration / 40 + 3, "{lease:?}");
        }
    }
    assert_eq!(Lease { duration: 5, drift_ppm: 0 }.expires_at(7), 12);
}
