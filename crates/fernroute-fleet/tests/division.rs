//! The division of one budget among members by their demands.

use fernroute_fleet::division::{divide, fair_shares};
use fernroute_fleet::MilliUnits;

#[test]
fn small_demands_are_met_and_the_others_share_the_rest() {
    assert_eq!(fair_shares(100, &[10, 200, 200]), [10, 45, 45]);
    assert_eq!(fair_shares(100, &[0, 10, 20]), [24, 33, 43]);
    assert_eq!(fair_shares(100, &[u64::MAX, u64::MAX, 0]), [50, 50, 0]);
    assert_eq!(fair_shares(7, &[9, 9]), [3, 4]);
    assert_eq!((fair_shares(0, &[5]), fair_shares(5, &[])), (vec![0], vec![]));
}

#[test]
fn noise_changes_nothing_and_a_shortage_changes_as_little_as_possible() {
    assert_eq!(divide(120, &[60, 20, 20], &[67, 27, 26]), [67, 27, 26]);
    assert_eq!(divide(120, &[70, 20, 20], &[67, 27, 26]), [67, 27, 26]);
    // The members furthest above their fair shares give most.
    assert_eq!(divide(120, &[90, 10, 10], &[60, 30, 30]), [94, 13, 13]);
    assert_eq!(divide(120, &[0, 0, 60, 0], &[60, 20, 20, 20]), [17, 20, 63, 20]);
    // The unassigned part goes to the member that is short, then to those furthest below their fair shares.
    assert_eq!(divide(120, &[50, 0, 0], &[10, 30, 30]), [60, 30, 30]);
    assert_eq!(divide(120, &[0, 0], &[30, 60]), [60, 60]);
    // No member is above its fair share; the total was lowered; an unbounded demand; no member.
    assert_eq!(divide(120, &[90, 90, 90], &[40, 40, 40]), [40, 40, 40]);
    assert_eq!(divide(60, &[90, 90, 90], &[40, 40, 40]), [20, 20, 20]);
    assert_eq!(divide(120, &[MilliUnits::MAX, 60], &[60, 60]), [60, 60]);
    assert_eq!(divide(120, &[], &[]), [0; 0]);
}
