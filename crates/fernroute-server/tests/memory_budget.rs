//! The budget of the memory for messages: limits, the order of waiting, windows of streamed bodies.

mod common;

use common::run;
use fernroute_server::memory::answer::AnswerMemory;
use fernroute_server::memory::budget::{max_caller_connections, message_memory, MemoryBudget, Purpose};
use fernroute_server::memory::rpc::RpcMemory;
use fernroute_server::memory::window::{Windows, CHUNKS_PER_BODY};
use fernroute_server::memory::{ATTEMPT_BYTES, CALLER_CONNECTION_BYTES};
use futures_util::FutureExt as _;
use proptest::prelude::*;
use std::rc::Rc;

const MIB: usize = 1 << 20;
/// Three quarters of it, 1,600 bytes, are for messages; each kind may have 1,400 of them.
const PROCESS_BYTES: usize = 2133;
const LIMIT: usize = 1600;
const KIND_LIMIT: usize = 1400;
const MAX_CHUNK_BYTES: usize = 16 * 1024;
const MIN_CHUNK_BYTES: usize = 2 * 1024;

/// Guards against streamed bodies that together exceed their memory, and against chunks that stay small after the number of
/// bodies has fallen.
#[test]
fn windows_of_all_bodies_fit_into_their_part_of_the_memory() {
    for memory in [32 * MIB, 48 * MIB, 192 * MIB] {
        let windows = Windows::new(MemoryBudget::new(memory, 0));
        let mut open = Vec::new();
        // Both directions on as many connections as the smallest memory limit is used with.
        for count in 1..=1000 {
            // The next one waits if there is no room.
            let Some(window) = windows.open_for_request().now_or_never() else { break };
            open.push(window);
            let chunk = open[0].chunk_size();
            assert!((MIN_CHUNK_BYTES..=MAX_CHUNK_BYTES).contains(&chunk));
            let chunks: usize = open.iter().map(|window| CHUNKS_PER_BODY * window.chunk_size()).sum();
            // A quarter of the process's memory, as documented.
            assert!(chunks <= memory / 4, "{memory} {count} {chunk}");
            assert!(windows.budget().held() <= windows.budget().limit(), "{memory} {count}");
        }
        windows.budget().set_limits(message_memory(memory / 2), 0);
        let chunks: usize = open.iter().map(|window| CHUNKS_PER_BODY * window.chunk_size()).sum();
        assert!(chunks <= (memory / 2 / 4).max(open.len() * CHUNKS_PER_BODY * MIN_CHUNK_BYTES));
        windows.budget().set_limits(message_memory(memory), 0);
        open.truncate(1);
        assert_eq!(open[0].chunk_size(), MAX_CHUNK_BYTES);
        drop(open);
        assert_eq!(windows.budget().held(), 0);
    }
}

/// Guards against a later reservation that overtakes an earlier one and so could keep it waiting, and against a place in the
/// queue that is kept for somebody who has left.
#[test]
fn required_reservations_are_granted_in_order() {
    run(async {
        let budget = MemoryBudget::new(PROCESS_BYTES, 0);
        assert_eq!(budget.limit(), LIMIT);
        let all = budget.reserve(Purpose::Long, KIND_LIMIT).await;
        let mut first = Box::pin(budget.reserve(Purpose::Long, 1200));
        let mut gone = Box::pin(budget.reserve(Purpose::Long, 900));
        let mut second = Box::pin(budget.reserve(Purpose::Long, 100));
        assert!((&mut first).now_or_never().is_none());
        assert!((&mut gone).now_or_never().is_none());
        assert!((&mut second).now_or_never().is_none());
        assert_eq!(budget.waiting(), 3);
        assert!(all.try_resize(500));
        // There would be room for the second one, but the first one is before it.
        assert!((&mut second).now_or_never().is_none() && (&mut first).now_or_never().is_none());
        // Optional memory is not given past those who wait.
        assert!(budget.try_reserve(10).is_none() && !all.try_resize(510));
        drop(gone);
        drop(all);
        let (first, second) = (first.await, second.await);
        assert_eq!((budget.held(), budget.waiting()), (1300, 0));
        drop((first, second));
        assert_eq!((budget.held(), budget.peak()), (0, KIND_LIMIT));
    });
}

/// Guards against memory that nobody gets: who leaves the front of the queue may have been the only one without room.
#[test]
fn next_in_the_queue_is_granted_when_the_first_leaves() {
    run(async {
        let budget = MemoryBudget::new(PROCESS_BYTES, 0);
        let _some = budget.reserve(Purpose::Long, 1000).await;
        let mut first = Box::pin(budget.reserve(Purpose::Long, 900));
        let mut second = Box::pin(budget.reserve(Purpose::Long, 100));
        assert!((&mut first).now_or_never().is_none() && (&mut second).now_or_never().is_none());
        drop(first);
        assert!(second.now_or_never().is_some());
    });
}

/// Guards against long messages that leave no memory to short RPCs, and against short RPCs that leave none to long messages:
/// they would wait for each other where their answers are long.
#[test]
fn short_and_long_rpcs_leave_room_for_each_other() {
    run(async {
        for (kind, other) in [(Purpose::Long, Purpose::Short), (Purpose::Short, Purpose::Long)] {
            let budget = MemoryBudget::new(PROCESS_BYTES, 0);
            let _all_of_kind = budget.reserve(kind, KIND_LIMIT).now_or_never().expect("there is room");
            let mut more = Box::pin(budget.reserve(kind, 1));
            assert!((&mut more).now_or_never().is_none(), "{kind:?}");
            let rest = budget.reserve(other, LIMIT - KIND_LIMIT).now_or_never();
            assert!(rest.is_some(), "{other:?}");
            assert_eq!(budget.held(), LIMIT);
            drop(rest);
            assert!(more.now_or_never().is_none(), "{kind:?}");
        }
    });
}

proptest! {
    /// Guards against memory that is granted beyond the limit, or not returned, in any order of events.
    #[test]
    fn required_and_optional_reservations_stay_within_the_limit(
        steps in prop::collection::vec((0_u8..5, 1_usize..400), 1..200)
    ) {
        let budget = MemoryBudget::new(PROCESS_BYTES, 0);
        let mut held = Vec::new();
        let mut waiting: Vec<std::pin::Pin<Box<dyn std::future::Future<Output = _>>>> = Vec::new();
        for (step, bytes) in steps {
            match step {
                0 => held.extend(budget.try_reserve(bytes)),
                1 => {
                    let budget = Rc::clone(&budget);
                    let purpose = if bytes % 2 == 0 { Purpose::Short } else { Purpose::Long };
                    waiting.push(Box::pin(async move { budget.reserve(purpose, bytes).await }));
                }
                2 if !held.is_empty() => drop(held.swap_remove(bytes % held.len())),
                3 if !held.is_empty() => drop(held[bytes % held.len()].try_resize(bytes)),
                4 if !waiting.is_empty() => drop(waiting.swap_remove(bytes % waiting.len())),
                _ => {}
            }
            waiting.retain_mut(|reservation| match reservation.now_or_never() {
                Some(reservation) => {
                    held.push(reservation);
                    false
                }
                None => true,
            });
            prop_assert!(budget.held() <= budget.limit());
            prop_assert_eq!(budget.held(), held.iter().map(|reservation| reservation.bytes()).sum::<usize>());
        }
        // All that wait are served in the end.
        while !waiting.is_empty() {
            held.clear();
            let before = waiting.len();
            waiting.retain_mut(|reservation| match reservation.now_or_never() {
                Some(reservation) => {
                    held.push(reservation);
                    false
                }
                None => true,
            });
            prop_assert!(waiting.len() < before);
        }
        held.clear();
        prop_assert_eq!(budget.held(), 0);
    }
}

/// Guards against callers' connections that take what RPCs have reserved, or the reverse.
#[test]
fn memory_of_connections_is_set_aside() {
    let most = max_caller_connections(message_memory(32 * MIB));
    let budget = MemoryBudget::new(32 * MIB, most);
    let mut reservations = Vec::new();
    while let Some(reservation) = budget.reserve(Purpose::Long, MIB / 64).now_or_never() {
        reservations.push(reservation);
    }
    while let Some(reservation) = budget.reserve(Purpose::Short, MIB / 64).now_or_never() {
        reservations.push(reservation);
    }
    let connections: Vec<_> = (0..most).map(|_| budget.reserve_connection(CALLER_CONNECTION_BYTES)).collect();
    assert!(budget.held() <= budget.limit() && budget.limit() < 32 * MIB, "{budget:?}");
    // A third of the most descriptors that deployments have are clients' connections with requests.
    assert!(connections.len() >= 1024 / 3, "{}", connections.len());
}

/// Guards against answers that are given up in vain: one that gives up returns enough for one short RPC.
#[test]
fn as_many_long_answers_give_up_as_short_rpcs_need() {
    run(async {
        let budget = MemoryBudget::new(MIB, 0);
        let mut long = vec![budget.reserve(Purpose::Long, budget.limit() / 8).await];
        let mut short = Vec::new();
        while let Some(reservation) = budget.reserve(Purpose::Short, ATTEMPT_BYTES).now_or_never() {
            short.push(reservation);
        }
        while let Some(reservation) = budget.reserve(Purpose::Long, 1024).now_or_never() {
            long.push(reservation);
        }
        let mut answers = [0, 1, 2].map(|_| Box::pin(budget.reserve_yielding(2 * ATTEMPT_BYTES)));
        assert!(answers.iter_mut().all(|answer| answer.now_or_never().is_none()));
        let mut waiting = Box::pin(budget.reserve(Purpose::Short, ATTEMPT_BYTES));
        assert!((&mut waiting).now_or_never().is_none());
        // Little is returned, which changes nothing for those who wait.
        drop(long.pop());
        let ends = answers.each_mut().map(|answer| answer.now_or_never().map(|end| end.is_err()));
        assert_eq!(ends, [None, None, Some(true)]);
        // Another answer does not begin to wait meanwhile.
        assert!(budget.reserve_yielding(2 * ATTEMPT_BYTES).now_or_never().is_some_and(|end| end.is_err()));
        drop(short.pop());
        assert!(waiting.now_or_never().is_some());
    });
}

/// An answer of this size is held whole.
const HELD_ANSWER_BYTES: usize = 64 << 10;

/// Guards against an answer that waits for a second window while it holds the first: several could wait for each other.
#[test]
fn held_answer_is_streamed_through_its_own_window() {
    run(async {
        let windows = Windows::new(MemoryBudget::new(8 * MIB, 0));
        let memory = AnswerMemory::reserve(&windows, None).await;
        let _held = memory.try_hold(HELD_ANSWER_BYTES).expect("there is room");
        let mut others = Vec::new();
        while let Some(window) = windows.open_for_request().now_or_never() {
            others.push(window);
        }
        let held_before = windows.budget().held();
        assert!(memory.window().now_or_never().is_some());
        assert_eq!(windows.budget().held(), held_before);
    });
}

/// Guards against an attempt whose memory is not counted because an earlier one, whose answer failed, had exchanged it for a
/// window.
#[test]
fn attempt_after_a_failed_long_answer_is_counted() {
    run(async {
        let windows = Windows::new(MemoryBudget::new(8 * MIB, 0));
        let rpc = RpcMemory::reserve_short(windows.budget(), false).await;
        let first = AnswerMemory::reserve(&windows, Some(&rpc)).await;
        drop(first.try_hold(HELD_ANSWER_BYTES).expect("there is room"));
        drop(first);
        let _second = AnswerMemory::reserve(&windows, Some(&rpc)).await;
        assert_eq!(windows.budget().held(), ATTEMPT_BYTES);
    });
}
