//! Who should get how much: to each by what it asks for, the smallest first, and what nobody asks for evenly.

use crate::Units;

/// Max-min fair: whoever asks for less than an even part gets what it asks for, the others share the rest evenly. What
/// is left once all have what they ask for is shared evenly too, so that a sudden need finds some at hand. The sum is
/// exactly `whole`, or nothing where nobody is there.
pub fn fair(whole: Units, wants: &[Units]) -> Vec<Units> {
    let mut gets = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    // By place where two ask for the same, so that the same call always divides alike.
    order.sort_by_key(|n| (wants[*n], *n));
    let mut left = whole;
    for (served, n) in order.iter().enumerate() {
        let even = left / (wants.len() - served) as Units;
        gets[*n] = wants[*n].min(even);
        left -= gets[*n];
    }
    if let Some(count) = std::num::NonZeroU64::new(wants.len() as Units) {
        let (each, odd) = (left / count, left % count);
        for (n, gets) in gets.iter_mut().enumerate() {
            *gets += each + Units::from((n as Units) < odd);
        }
    }
    gets
}

/// Whether what each has now is to be divided anew: where somebody is short that need not be, or has gone. Small
/// differences move nothing, so that noise in what is asked for does not.
pub fn is_due(whole: Units, wants: &[Units], has: &[Units], fair: &[Units]) -> bool {
    /// Less than this part of an even part is noise: demand is counted over about a second, and scatters by some percent.
    const NOISE: Units = 8;
    let even = whole / (has.len().max(1) as Units);
    let least = (even / NOISE).max(1);
    let short = |n: usize| wants[n].min(fair[n]) >= has[n] + least;
    /// Of the whole, what may lie with nobody: less is not worth a step.
    const IDLE: Units = 50;
    // What is held beyond the whole is taken back at once.
    let sum: Units = has.iter().sum();
    sum > whole || whole - sum > whole / IDLE || (0..has.len()).any(short)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_small_get_what_they_ask_for_and_the_others_share_the_rest() {
        assert_eq!(fair(100, &[10, 200, 200]), [10, 45, 45]);
        assert_eq!(fair(100, &[0, 10, 20]), [24, 33, 43]);
        assert_eq!(fair(100, &[u64::MAX, u64::MAX, 0]), [50, 50, 0]);
        assert_eq!(fair(7, &[9, 9]), [3, 4]);
        assert_eq!((fair(0, &[5]), fair(5, &[])), (vec![0], vec![]));
    }

    #[test]
    fn noise_moves_nothing_and_need_does() {
        let due = |wants: &[Units], has: &[Units]| is_due(120, wants, has, &fair(120, wants));
        assert!(!due(&[60, 20, 20], &[67, 27, 26]));
        assert!(!due(&[70, 20, 20], &[67, 27, 26]));
        assert!(due(&[90, 20, 20], &[67, 27, 26]));
        // Nobody is short, or nobody has what the short one could get.
        assert!(!due(&[0, 0, 0], &[67, 27, 26]) && !due(&[90, 90, 90], &[40, 40, 40]));
        // What a member left behind, and a whole made smaller.
        assert!(due(&[0, 0], &[67, 27]) && due(&[0, 0], &[67, 127]));
    }
}
