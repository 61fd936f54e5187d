//! Who should get how much.

use fernroute_fleet::division::{divide, fair};
use fernroute_fleet::MilliUnits;

#[test]
fn the_small_get_what_they_ask_for_and_the_others_share_the_rest() {
    assert_eq!(fair(100, &[10, 200, 200]), [10, 45, 45]);
    assert_eq!(fair(100, &[0, 10, 20]), [24, 33, 43]);
    assert_eq!(fair(100, &[u64::MAX, u64::MAX, 0]), [50, 50, 0]);
    assert_eq!(fair(7, &[9, 9]), [3, 4]);
    assert_eq!((fair(0, &[5]), fair(5, &[])), (vec![0], vec![]));
}

#[test]
fn noise_moves_nothing_and_need_moves_as_few_as_may_be() {
    assert_eq!(divide(120, &[60, 20, 20], &[67, 27, 26]), [67, 27, 26]);
    assert_eq!(divide(120, &[70, 20, 20], &[67, 27, 26]), [67, 27, 26]);
    // Who is furthest above what is fair gives most.
    assert_eq!(divide(120, &[90, 10, 10], &[60, 30, 30]), [94, 13, 13]);
    assert_eq!(divide(120, &[0, 0, 60, 0], &[60, 20, 20, 20]), [17, 20, 63, 20]);
    // What is idle goes to who is short, and beyond that to who is furthest below what is fair.
    assert_eq!(divide(120, &[50, 0, 0], &[10, 30, 30]), [60, 30, 30]);
    assert_eq!(divide(120, &[0, 0], &[30, 60]), [60, 60]);
    // Nobody is short, or nobody has what the short one could get; a whole made smaller; an absurd demand.
    assert_eq!(divide(120, &[90, 90, 90], &[40, 40, 40]), [40, 40, 40]);
    assert_eq!(divide(60, &[90, 90, 90], &[40, 40, 40]), [20, 20, 20]);
    assert_eq!(divide(120, &[MilliUnits::MAX, 60], &[60, 60]), [60, 60]);
    assert_eq!(divide(120, &[], &[]), [0; 0]);
}
