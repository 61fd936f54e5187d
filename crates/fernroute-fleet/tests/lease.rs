//! How long a promise holds.

use fernroute_fleet::lease::Lease;

/// Guards against a ledger that gives away what a holder with the slowest clock still believes in.
#[test]
fn the_ledger_waits_longer_than_the_slowest_holder_whatever_its_own_clock() {
    for length in [1, 9_999, 15_000, 36_000_000] {
        for drift in [0, 1, 200, 10_000] {
            let lease = Lease { duration: length, drift_ppm: drift };
            let off = f64::from(drift) / 1e6;
            let holder = length as f64 / (1.0 - off);
            assert!(lease.expires_after() as f64 / (1.0 + off) >= holder, "{lease:?}");
            assert!(lease.expires_after() <= length + length / 40 + 3, "{lease:?}");
        }
    }
    assert_eq!(Lease { duration: 5, drift_ppm: 0 }.expires_at(7), 12);
}
