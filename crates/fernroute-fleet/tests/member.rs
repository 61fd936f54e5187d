//! A balancer's side of the budgets: the grant that it uses, and when that expires.

use fernroute_fleet::member::{Member, ReplyStatus};
use fernroute_fleet::message::{Grant, Heartbeat, HeartbeatReply};
use fernroute_fleet::{BudgetAmounts, MilliUnits};

fn grant(epoch: u64, guaranteed: MilliUnits, quota: MilliUnits) -> Grant {
    let amounts = |amount| BudgetAmounts::from([("acme".to_owned(), amount)]);
    Grant { epoch, guaranteed: amounts(guaranteed), quotas: amounts(quota) }
}

fn reply(heartbeat: &Heartbeat, grant: Grant) -> HeartbeatReply {
    HeartbeatReply {
        identity: heartbeat.identity,
        number: heartbeat.number,
        grant,
        quotas_valid_for: 100,
        guaranteed_valid_for: 1000,
        configuration: None,
        duties: None,
    }
}

/// Guards against a process that spends an expired grant because a reply was late, repeated or overtaken, or
/// because the process itself was stopped.
#[test]
fn a_grant_expires_by_when_its_heartbeat_was_sent_and_late_old_or_repeated_replies_add_nothing() {
    let mut member = Member::new("n0", 7, 0);
    assert_eq!(member.allocated(0, "acme"), 0);
    let first = member.heartbeat(50, BudgetAmounts::new());
    let second = member.heartbeat(60, BudgetAmounts::new());
    assert_eq!(member.on_reply(140, &reply(&first, grant(3, 2, 8))), ReplyStatus::NewGrant);
    assert_eq!(
        (member.allocated(149, "acme"), member.allocated(150, "acme"), member.allocated(1049, "acme")),
        (10, 2, 2)
    );
    assert_eq!((member.allocated(1050, "acme"), member.allocated(149, "other")), (0, 0));
    assert_eq!(member.on_reply(141, &reply(&first, grant(3, 2, 8))), ReplyStatus::Stale);
    assert_eq!(member.on_reply(142, &reply(&second, grant(2, 2, 90))), ReplyStatus::OlderEpoch);
    assert_eq!(member.expirations(), (150, 1050));
    let third = member.heartbeat(145, BudgetAmounts::new());
    assert_eq!(
        (third.epoch, member.on_reply(146, &reply(&third, grant(3, 2, 8)))),
        (3, ReplyStatus::Extended)
    );
    assert_eq!(member.expirations(), (245, 1145));
    // After a long stop the member's clock shows that the grant has expired; then a ledger that was created anew may
    // grant at a lower epoch.
    let fourth = member.heartbeat(150, BudgetAmounts::new());
    assert_eq!(member.on_reply(5000, &reply(&fourth, grant(4, 2, 90))), ReplyStatus::Stale);
    assert_eq!(member.allocated(5000, "acme"), 0);
    let after_stop = member.heartbeat(5000, BudgetAmounts::new());
    assert_eq!(
        (member.on_reply(5001, &reply(&after_stop, grant(1, 2, 8))), member.allocated(5001, "acme")),
        (ReplyStatus::NewGrant, 10)
    );
    // A reply to another member.
    let fifth = member.heartbeat(5000, BudgetAmounts::new());
    assert_eq!(
        member.on_reply(5000, &HeartbeatReply { identity: 8, ..reply(&fifth, grant(9, 9, 9)) }),
        ReplyStatus::Stale
    );
    let unanswered: Vec<Heartbeat> =
        (0..1000).map(|_| member.heartbeat(5000, BudgetAmounts::new())).collect();
    // Only replies to the last 16 heartbeats are used.
    for (index, heartbeat) in unanswered.iter().enumerate() {
        let expected = if index < 984 { ReplyStatus::Stale } else { ReplyStatus::Extended };
        let status = member.clone().on_reply(5001, &reply(heartbeat, grant(1, 2, 8)));
        assert_eq!(status, expected, "{index}");
    }
    let last = member.leave();
    assert!(last.leaving && last.number == 1007, "{last:?}");
}

/// Guards against two processes of one balancer that use a whole grant each.
#[test]
fn a_predecessor_and_its_successor_share_one_grant() {
    let mut predecessor = Member::new("n0", 7, 0);
    let heartbeat = predecessor.heartbeat(0, BudgetAmounts::new());
    predecessor.on_reply(1, &reply(&heartbeat, grant(3, 3, 9)));
    let handover = predecessor.hand_over(2).expect("the grant is not shared yet");
    let mut successor = Member::take_over("n0", 2, 1 << 32, &handover);
    assert_eq!((successor.hand_over(2), successor.expirations()), (None, predecessor.expirations()));
    assert_eq!((predecessor.allocated(2, "acme"), successor.allocated(2, "acme")), (5, 5));
    let heartbeat = successor.heartbeat(3, BudgetAmounts::new());
    // A larger grant is not used, and a smaller one not reported as accepted, until the predecessor has
    // ended.
    assert_eq!(successor.on_reply(4, &reply(&heartbeat, grant(4, 4, 20))), ReplyStatus::NewGrant);
    assert_eq!(
        (predecessor.allocated(5, "acme"), successor.allocated(5, "acme"), successor.epoch()),
        (5, 5, 3)
    );
    let heartbeat = successor.heartbeat(6, BudgetAmounts::new());
    assert_eq!(successor.on_reply(7, &reply(&heartbeat, grant(5, 0, 4))), ReplyStatus::NewGrant);
    assert_eq!((successor.allocated(8, "acme"), successor.epoch()), (2, 3));
    successor.own_whole_grant();
    assert_eq!((successor.allocated(8, "acme"), successor.epoch()), (4, 5));
    // Where the successor ends instead, the predecessor continues with its whole grant.
    predecessor.resume_after_handover(1 << 33);
    assert_eq!(
        (predecessor.allocated(8, "acme"), predecessor.heartbeat(9, BudgetAmounts::new()).number),
        (12, (1 << 33) + 1)
    );
}
