//! A balancer's side: what it holds, and until when.

use fernroute_fleet::member::{Heard, Member};
use fernroute_fleet::message::{Answer, Beat, Grant};
use fernroute_fleet::{Shares, Units};

fn grant(epoch: u64, floor: Units, share: Units) -> Grant {
    let of = |amount| Shares::from([("acme".to_owned(), amount)]);
    Grant { epoch, floors: of(floor), shares: of(share) }
}

fn answer(beat: &Beat, grant: Grant) -> Answer {
    Answer {
        identity: beat.identity,
        number: beat.number,
        grant,
        shares_for: 100,
        floors_for: 1000,
        configuration: None,
        duties: None,
    }
}

/// Guards against a process that spends what has lapsed because an answer took long, came twice or was overtaken,
/// or because it stood still itself.
#[test]
fn times_count_from_the_asking_and_what_is_late_old_or_double_brings_nothing() {
    let mut m = Member::new("n0", 7, 0);
    assert_eq!(m.holds(0, "acme"), 0);
    let first = m.beat(50, Shares::new());
    let second = m.beat(60, Shares::new());
    assert_eq!(m.hear(140, &answer(&first, grant(3, 2, 8))), Heard::Anew);
    assert_eq!((m.holds(149, "acme"), m.holds(150, "acme"), m.holds(1049, "acme")), (10, 2, 2));
    assert_eq!((m.holds(1050, "acme"), m.holds(149, "other")), (0, 0));
    assert_eq!(m.hear(141, &answer(&first, grant(3, 2, 8))), Heard::Stale);
    assert_eq!(m.hear(142, &answer(&second, grant(2, 2, 90))), Heard::Older);
    assert_eq!(m.until(), (150, 1050));
    let third = m.beat(145, Shares::new());
    assert_eq!((third.epoch, m.hear(146, &answer(&third, grant(3, 2, 8)))), (3, Heard::Longer));
    assert_eq!(m.until(), (245, 1145));
    // Stopped for long, it finds out by its clock; then a ledger that was begun anew may grant again.
    let fourth = m.beat(150, Shares::new());
    assert_eq!(m.hear(5000, &answer(&fourth, grant(4, 2, 90))), Heard::Stale);
    assert_eq!(m.holds(5000, "acme"), 0);
    let anew = m.beat(5000, Shares::new());
    assert_eq!((m.hear(5001, &answer(&anew, grant(1, 2, 8))), m.holds(5001, "acme")), (Heard::Anew, 10));
    // An answer to somebody else.
    let fifth = m.beat(5000, Shares::new());
    assert_eq!(m.hear(5000, &Answer { identity: 8, ..answer(&fifth, grant(9, 9, 9)) }), Heard::Stale);
    let many: Vec<Beat> = (0..1000).map(|_| m.beat(5000, Shares::new())).collect();
    // Of so many only the last sixteen are noted.
    for (n, beat) in many.iter().enumerate() {
        let heard = if n < 984 { Heard::Stale } else { Heard::Longer };
        assert_eq!(m.clone().hear(5001, &answer(beat, grant(1, 2, 8))), heard, "{n}");
    }
    let last = m.leave();
    assert!(last.leaves && last.number == 1007, "{last:?}");
}

/// Guards against two processes of one balancer that spend a grant each.
#[test]
fn an_old_and_a_new_process_hold_one_grant_between_them() {
    let mut old = Member::new("n0", 7, 0);
    let beat = old.beat(0, Shares::new());
    old.hear(1, &answer(&beat, grant(3, 3, 9)));
    let handed = old.hand_over(2).expect("it holds alone");
    let mut new = Member::take_over("n0", 2, 1 << 32, &handed);
    assert_eq!((new.hand_over(2), new.until()), (None, old.until()));
    assert_eq!((old.holds(2, "acme"), new.holds(2, "acme")), (5, 5));
    let beat = new.beat(3, Shares::new());
    // More than both began with is not used, and less is not said to be accepted, until the old one has ended.
    assert_eq!(new.hear(4, &answer(&beat, grant(4, 4, 20))), Heard::Anew);
    assert_eq!((old.holds(5, "acme"), new.holds(5, "acme"), new.epoch()), (5, 5, 3));
    let beat = new.beat(6, Shares::new());
    assert_eq!(new.hear(7, &answer(&beat, grant(5, 0, 4))), Heard::Anew);
    assert_eq!((new.holds(8, "acme"), new.epoch()), (2, 3));
    new.take_all();
    assert_eq!((new.holds(8, "acme"), new.epoch()), (4, 5));
    // Or the new one ends, and the old one goes on with what it had.
    old.take_back(1 << 33);
    assert_eq!((old.holds(8, "acme"), old.beat(9, Shares::new()).number), (12, (1 << 33) + 1));
}
