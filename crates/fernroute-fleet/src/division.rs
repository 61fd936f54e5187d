//! Who should get how much: to each by what it asks for, the smallest first, and what nobody asks for evenly.

use crate::MilliUnits;

/// Max-min fair: whoever asks for less than an even part gets what it asks for, the others share the rest evenly. What
/// is left once all have what they ask for is shared evenly too, so that a sudden need finds some at hand. The sum is
/// exactly `whole`, or nothing where nobody is there.
pub fn fair(whole: MilliUnits, wants: &[MilliUnits]) -> Vec<MilliUnits> {
    let mut gets = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    // By place where two ask for the same, so that the same call always divides alike.
    order.sort_by_key(|n| (wants[*n], *n));
    let mut left = whole;
    for (served, n) in order.iter().enumerate() {
        let even = left / (wants.len() - served) as MilliUnits;
        gets[*n] = wants[*n].min(even);
        left -= gets[*n];
    }
    if let Some(count) = std::num::NonZeroU64::new(wants.len() as MilliUnits) {
        let (each, odd) = (left / count, left % count);
        for (n, gets) in gets.iter_mut().enumerate() {
            *gets += each + MilliUnits::from((n as MilliUnits) < odd);
        }
    }
    gets
}

/// What each should have, who has this much now: as few as may be are moved, since whoever is to have less must first say
/// that it has, and what is on its way is nobody's. Who is short by more than noise gets what it asks for, or what is fair; what that takes
/// comes from what is idle, then from those furthest above what is fair for them.
pub fn divide(whole: MilliUnits, wants: &[MilliUnits], has: &[MilliUnits]) -> Vec<MilliUnits> {
    /// Less than this part of an even part is noise.
    const NOISE: MilliUnits = 8;
    /// Of the whole, what may lie with nobody: less is not worth a move.
    const IDLE: MilliUnits = 50;
    let fair = fair(whole, wants);
    let least = (whole / (has.len().max(1) as MilliUnits) / NOISE).max(1);
    let mut next = has.to_vec();
    for (n, next) in next.iter_mut().enumerate() {
        if wants[n].min(fair[n]) >= has[n].saturating_add(least) {
            *next = fair[n].min(wants[n].saturating_add(least));
        }
    }
    let sum: MilliUnits = next.iter().fold(0, |sum, share| sum.saturating_add(*share));
    let mut order: Vec<usize> = (0..next.len()).collect();
    if sum > whole {
        let mut missing = sum - whole;
        order.sort_by_key(|n| (std::cmp::Reverse(next[*n].saturating_sub(fair[*n])), *n));
        for n in order {
            let less = next[n].saturating_sub(fair[n]).min(missing);
            next[n] -= less;
            missing -= less;
        }
    } else if whole - sum > whole / IDLE {
        let mut idle = whole - sum;
        order.sort_by_key(|n| (std::cmp::Reverse(fair[*n].saturating_sub(next[*n])), *n));
        for n in order {
            let more = fair[n].saturating_sub(next[n]).min(idle);
            next[n] += more;
            idle -= more;
        }
    }
    next
}
