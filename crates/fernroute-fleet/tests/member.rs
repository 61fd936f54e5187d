//! A balancer's side: what it holds, and until when.

use fernroute_fleet::member::{Member, ReplyStatus};
use fernroute_fleet::message::{Grant, Heartbeat, HeartbeatReply};
use fernroute_fleet::{BudgetAmounts, MilliUnits};

fn grant(epoch: u64, floor: MilliUnits, share: MilliUnits) -> Grant {
    let of = |amount| BudgetAmounts::from([("acme".to_owned(), amount)]);
    Grant { epoch, guaranteed: of(floor), quotas: of(share) }
}

fn answer(beat: &Heartbeat, grant: Grant) -> HeartbeatReply {
    HeartbeatReply {
        identity: beat.identity,
        number: beat.number,
        grant,
        quotas_valid_for: 100,
        guaranteed_valid_for: 1000,
        configuration: None,
        duties: None,
    }
}

/// Guards against a process that spends what has lapsed because an answer took long, came twice or was overtaken,
/// or because it stood still itself.
#[test]
fn times_count_from_the_asking_and_what_is_late_old_or_double_brings_nothing() {
    let mut m = Member::new("n0", 7, 0);
    assert_eq!(m.allocated(0, "acme"), 0);
    let first = m.heartbeat(50, BudgetAmounts::new());
    let second = m.heartbeat(60, BudgetAmounts::new());
    assert_eq!(m.on_reply(140, &answer(&first, grant(3, 2, 8))), ReplyStatus::NewGrant);
    assert_eq!((m.allocated(149, "acme"), m.allocated(150, "acme"), m.allocated(1049, "acme")), (10, 2, 2));
    assert_eq!((m.allocated(1050, "acme"), m.allocated(149, "other")), (0, 0));
    assert_eq!(m.on_reply(141, &answer(&first, grant(3, 2, 8))), ReplyStatus::Stale);
    assert_eq!(m.on_reply(142, &answer(&second, grant(2, 2, 90))), ReplyStatus::OlderEpoch);
    assert_eq!(m.expirations(), (150, 1050));
    let third = m.heartbeat(145, BudgetAmounts::new());
    assert_eq!((third.epoch, m.on_reply(146, &answer(&third, grant(3, 2, 8)))), (3, ReplyStatus::Extended));
    assert_eq!(m.expirations(), (245, 1145));
    // Stopped for long, it finds out by its clock; then a ledger that was begun anew may grant again.
    let fourth = m.heartbeat(150, BudgetAmounts::new());
    assert_eq!(m.on_reply(5000, &answer(&fourth, grant(4, 2, 90))), ReplyStatus::Stale);
    assert_eq!(m.allocated(5000, "acme"), 0);
    let anew = m.heartbeat(5000, BudgetAmounts::new());
    assert_eq!(
        (m.on_reply(5001, &answer(&anew, grant(1, 2, 8))), m.allocated(5001, "acme")),
        (ReplyStatus::NewGrant, 10)
    );
    // An answer to somebody else.
    let fifth = m.heartbeat(5000, BudgetAmounts::new());
    assert_eq!(
        m.on_reply(5000, &HeartbeatReply { identity: 8, ..answer(&fifth, grant(9, 9, 9)) }),
        ReplyStatus::Stale
    );
    let many: Vec<Heartbeat> = (0..1000).map(|_| m.heartbeat(5000, BudgetAmounts::new())).collect();
    // Of so many only the last sixteen are noted.
    for (n, beat) in many.iter().enumerate() {
        let heard = if n < 984 { ReplyStatus::Stale } else { ReplyStatus::Extended };
        assert_eq!(m.clone().on_reply(5001, &answer(beat, grant(1, 2, 8))), heard, "{n}");
    }
    let last = m.leave();
    assert!(last.leaving && last.number == 1007, "{last:?}");
}

/// Guards against two processes of one balancer that spend a grant each.
#[test]
fn an_old_and_a_new_process_hold_one_grant_between_them() {
    let mut old = Member::new("n0", 7, 0);
    let beat = old.heartbeat(0, BudgetAmounts::new());
    old.on_reply(1, &answer(&beat, grant(3, 3, 9)));
    let handed = old.hand_over(2).expect("it holds alone");
    let mut new = Member::take_over("n0", 2, 1 << 32, &handed);
    assert_eq!((new.hand_over(2), new.expirations()), (None, old.expirations()));
    assert_eq!((old.allocated(2, "acme"), new.allocated(2, "acme")), (5, 5));
    let beat = new.heartbeat(3, BudgetAmounts::new());
    // More than both began with is not used, and less is not said to be accepted, until the old one has ended.
    assert_eq!(new.on_reply(4, &answer(&beat, grant(4, 4, 20))), ReplyStatus::NewGrant);
    assert_eq!((old.allocated(5, "acme"), new.allocated(5, "acme"), new.epoch()), (5, 5, 3));
    let beat = new.heartbeat(6, BudgetAmounts::new());
    assert_eq!(new.on_reply(7, &answer(&beat, grant(5, 0, 4))), ReplyStatus::NewGrant);
    assert_eq!((new.allocated(8, "acme"), new.epoch()), (2, 3));
    new.own_whole_grant();
    assert_eq!((new.allocated(8, "acme"), new.epoch()), (4, 5));
    // Or the new one ends, and the old one goes on with what it had.
    old.resume_after_handover(1 << 33);
    assert_eq!(
        (old.allocated(8, "acme"), old.heartbeat(9, BudgetAmounts::new()).number),
        (12, (1 << 33) + 1)
    );
}
