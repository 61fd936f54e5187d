//! Sharing of memory between a balancer's processes during an upgrade.

use fernroute_server::memory::budget::message_memory;
use fernroute_server::program::memory_quota::MemoryQuota;

const MIB: usize = 1 << 20;
/// The resident memory of a program without messages.
const PROGRAM: usize = 9 * MIB / 2;

fn quota(total: usize) -> MemoryQuota {
    let mut quota = MemoryQuota::new(total);
    quota.set_program(PROGRAM);
    quota
}

/// Guards against two processes that together exceed the limit of one: what the old one has resident counts until it is returned.
#[test]
fn two_processes_stay_within_the_memory_of_one() {
    for total in [32 * MIB, 48 * MIB, 192 * MIB] {
        let alone = quota(total);
        let all_messages = alone.message_limit();
        assert!(all_messages <= message_memory(total));
        for step in 0..=32 {
            // What a process has had at the most under any load of `memory_limit.rs`.
            let resident = PROGRAM + all_messages * 9 / 10 * step / 32;
            let mut old = alone;
            old.keep_for_successor(resident);
            let mut new = quota(total);
            new.set_available(old.available_to_successor(resident));
            let old_most = resident.max(PROGRAM + old.message_limit());
            let new_most = PROGRAM + new.message_limit();
            assert!(old_most + new_most <= total, "{total} {resident}: {old_most} + {new_most}");
            assert!(new.message_limit() > 0);
            // The old process never takes more again than it has said that it keeps.
            let (kept, limit) = (old, old.message_limit());
            old.keep_for_successor(resident + MIB);
            assert_eq!(old, kept);
            // What it returns goes to its successor.
            old.keep_for_successor(PROGRAM);
            assert!(old.message_limit() <= limit);
            assert!(old.available_to_successor(PROGRAM) >= kept.available_to_successor(resident));
            old.successor_ended();
            new.predecessor_ended();
            assert_eq!((old, new), (alone, alone));
        }
    }
}

/// Guards against a third process that gets what the first one still has.
#[test]
fn three_processes_stay_within_the_memory_of_one() {
    let (total, resident) = (192 * MIB, 40 * MIB);
    let mut first = quota(total);
    first.keep_for_successor(resident);
    let mut second = quota(total);
    second.set_available(first.available_to_successor(resident));
    second.keep_for_successor(resident);
    let mut third = quota(total);
    third.set_available(second.available_to_successor(resident));
    let second_most = resident.max(PROGRAM + second.message_limit());
    assert!(resident + second_most + PROGRAM + third.message_limit() <= total);
}
