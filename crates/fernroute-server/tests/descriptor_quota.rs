//! The descriptors of one balancer's processes during an upgrade.

use fernroute_server::program::descriptor_quota::{ConnectionLimits, DescriptorQuota, RESERVED_DESCRIPTORS};

/// Guards against two processes that together hold more than one may, and against idle callers that are sent away
/// while there is room for all.
#[test]
fn two_processes_stay_within_the_limit_of_one() {
    for total in [128, 256, 384, 1024] {
        for has_ops in [false, true] {
            let alone = DescriptorQuota::new(total, has_ops);
            let ConnectionLimits { callers, upstreams } = alone.connection_limits();
            assert!(callers + upstreams + RESERVED_DESCRIPTORS <= total && callers > upstreams);
            for connections in 0..=callers + upstreams {
                let mut old = alone;
                old.shrink_for_successor(connections);
                let kept = old.connection_limits();
                let mut new = alone;
                new.assigned = old.available_to_successor(connections);
                let old_descriptors = old.in_use(connections).max(old.assigned);
                assert!(old_descriptors + new.assigned <= total, "{total} {connections}");
                if alone.in_use(connections) + 16 <= total / 2 {
                    assert!(kept.callers + kept.upstreams >= connections, "{total} {connections}");
                    assert!(new.assigned >= total / 2);
                }
                // As the old one's connections end its successor gets more, and all at its end.
                old.handed_over = true;
                new.assigned = old.available_to_successor(connections / 2);
                assert!(new.assigned + old.in_use(connections / 2) <= total.max(old.in_use(0)));
                assert!(new.assigned >= old.available_to_successor(connections));
                new.reclaim();
                assert_eq!(new, alone);
            }
        }
    }
    let mut half = DescriptorQuota::new(256, true);
    half.assigned = 128;
    assert_eq!(
        (half.memory(32 << 20), DescriptorQuota::new(256, true).memory(32 << 20)),
        (16 << 20, 32 << 20)
    );
    let limits = DescriptorQuota::new(64, true).connection_limits();
    assert!(limits.callers >= 4 && limits.upstreams >= 4);
}
