//! How one budget is divided among members by their demands.
//!
//! [`fair_shares`] is the max-min fair division. [`divide`] moves from the current division towards it with as few
//! changes as possible, since a decrease must be accepted before another member can get it, and nobody has
//! the amount until then.

use crate::MilliUnits;
use std::cmp::Reverse;

/// An increase below one part in so many of an even share is noise.
const NOISE_DIVISOR: MilliUnits = 8;

/// One part in so many of the total may stay unassigned: less is not worth a change.
const IDLE_DIVISOR: MilliUnits = 50;

/// The max-min fair division: a member whose demand is below an even share gets its demand, and the others
/// share the rest evenly. What remains once all demands are met is shared evenly too, so that a sudden demand
/// finds some at hand. The sum is exactly `total`; there is no member to give it to where `demands` is empty.
pub fn fair_shares(total: MilliUnits, demands: &[MilliUnits]) -> Vec<MilliUnits> {
    let mut shares = vec![0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    // Equal demands in the order of their members, so that the division is deterministic.
    order.sort_by_key(|member| (demands[*member], *member));
    let mut remaining = total;
    for (served, member) in order.iter().enumerate() {
        let even_share = remaining / (demands.len() - served) as MilliUnits;
        shares[*member] = demands[*member].min(even_share);
        remaining -= shares[*member];
    }
    if let Some(member_count) = std::num::NonZeroU64::new(demands.len() as MilliUnits) {
        let (each, remainder) = (remaining / member_count, remaining % member_count);
        for (member, share) in shares.iter_mut().enumerate() {
            *share += each + MilliUnits::from((member as MilliUnits) < remainder);
        }
    }
    shares
}

/// The division that follows on `current`. A member that is short by more than noise gets its demand, or its
/// fair share. That comes from what is unassigned, then from the members furthest above their fair shares.
pub fn divide(total: MilliUnits, demands: &[MilliUnits], current: &[MilliUnits]) -> Vec<MilliUnits> {
    let fair = fair_shares(total, demands);
    let mut next = raise_short_members(total, demands, current, &fair);
    let assigned: MilliUnits = next.iter().fold(0, |sum, share| sum.saturating_add(*share));
    if assigned > total {
        take_excess(&mut next, &fair, assigned - total);
    } else if total - assigned > total / IDLE_DIVISOR {
        give_idle(&mut next, &fair, total - assigned);
    }
    next
}

fn raise_short_members(
    total: MilliUnits,
    demands: &[MilliUnits],
    current: &[MilliUnits],
    fair: &[MilliUnits],
) -> Vec<MilliUnits> {
    let noise = (total / (current.len().max(1) as MilliUnits) / NOISE_DIVISOR).max(1);
    let mut next = current.to_vec();
    for (member, share) in next.iter_mut().enumerate() {
        if demands[member].min(fair[member]) >= current[member].saturating_add(noise) {
            *share = fair[member].min(demands[member].saturating_add(noise));
        }
    }
    next
}

/// Takes `missing` from the members furthest above their fair shares first.
fn take_excess(shares: &mut [MilliUnits], fair: &[MilliUnits], mut missing: MilliUnits) {
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by_key(|member| (Reverse(shares[*member].saturating_sub(fair[*member])), *member));
    for member in order {
        let decrease = shares[member].saturating_sub(fair[member]).min(missing);
        shares[member] -= decrease;
        missing -= decrease;
    }
}

/// Gives `idle` to the members furthest below their fair shares first.
fn give_idle(shares: &mut [MilliUnits], fair: &[MilliUnits], mut idle: MilliUnits) {
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by_key(|member| (Reverse(fair[*member].saturating_sub(shares[*member])), *member));
    for member in order {
        let increase = fair[member].saturating_sub(shares[member]).min(idle);
        shares[member] += increase;
        idle -= increase;
    }
}
