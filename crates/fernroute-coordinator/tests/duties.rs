//! Duties: the commands, members of versions with and without duties, and invalid configuration files.

mod common;

use common::{program, run, wait_until, CommandOutput, Coordinators, TestMember};
use fernroute_coordinator::duties::DutiesStatus;
use fernroute_coordinator::replica::now;
use fernroute_fleet::duties::holder::MemberDuties;
use fernroute_fleet::duties::EndReason;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// A member with a heartbeat task of its own.
struct RunningMember {
    member: Rc<RefCell<TestMember>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl RunningMember {
    fn new(coordinators: &Coordinators, id: u64, takes_duties: bool) -> Self {
        let mut member = TestMember::new(&format!("n{id}"), id, 10_000);
        member.duties = takes_duties.then(|| MemberDuties::new(id));
        let member = Rc::new(RefCell::new(member));
        let shared = Rc::clone(&member);
        let (peers, addresses) = (coordinators.peers.clone(), coordinators.addresses());
        // Besides this task only `term` borrows the member, and returns none where it is borrowed already.
        #[allow(clippy::await_holding_refcell_ref)]
        let task = actix_rt::spawn(async move {
            loop {
                if let Ok(mut member) = shared.try_borrow_mut() {
                    member.send_heartbeat(&peers, &addresses).await;
                }
                actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        RunningMember { member, task }
    }

    /// The term under which it may act on the duty; none while a heartbeat is in flight.
    fn term(&self, duty: &str) -> Option<u64> {
        self.member.try_borrow().ok()?.duties.as_ref()?.term(now(), duty)
    }
}

impl Drop for RunningMember {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn add_duties(coordinators: &Coordinators, names: &[&str]) {
    let text: String = names.iter().map(|name| format!("[[duty]]\nname = \"{name}\"\n")).collect();
    for process in &coordinators.processes {
        process.replace_in_config("[[budget]]", &format!("{text}[[budget]]"));
        process.replace_in_config("shares_ms = 3000", "shares_ms = 3000\nduties_ms = 1500");
    }
}

async fn status(coordinators: &Coordinators) -> DutiesStatus {
    let output = coordinators.command(&["duties", "status", "--json"]).await;
    assert_eq!(output.code, 0, "{output:?}");
    serde_json::from_str(&output.stdout).expect("a status")
}

/// Waits until each duty has a holder, and returns the name and term of the first duty's holder.
async fn first_holder(coordinators: &Coordinators) -> (String, u64) {
    let found = RefCell::new(None);
    wait_until(|| async {
        let status = status(coordinators).await;
        let all_held = !status.duties.is_empty() && status.duties.iter().all(|duty| duty.holder.is_some());
        found.replace(status.duties.into_iter().next().and_then(|duty| duty.holder));
        all_held
    })
    .await;
    let holder = found.take().expect("a holder");
    (holder.name, holder.term)
}

/// Guards against two holders where members start at the same time, against a duty at a member whose version does not
/// support duties, and against commands whose output differs from the state.
#[test]
fn commands_print_the_holder_of_a_duty_and_release_it_to_another() {
    run(async {
        let mut coordinators = Coordinators::new("duties", "c", 3);
        add_duties(&coordinators, &["planner", "sweep"]);
        coordinators.start();
        coordinators.leader(None).await;
        // All start at the same time; the version of n1 does not support duties.
        let members: Vec<RunningMember> =
            (1..=4).map(|id| RunningMember::new(&coordinators, id, id != 1)).collect();

        let (first, term) = first_holder(&coordinators).await;
        assert_ne!(first, "n1");
        wait_until(|| async { members.iter().any(|member| member.term("planner") == Some(term)) }).await;
        let active = members.iter().filter(|member| member.term("planner").is_some()).count();
        assert!(active <= 1, "{active} members act on the duty");
        let output = coordinators.command(&["duties", "status"]).await;
        let line =
            output.stdout.lines().find(|line| line.starts_with("planner")).expect("a line for the duty");
        assert!(output.code == 0 && line.contains(&first) && line.contains(&term.to_string()), "{output:?}");

        let output = coordinators.command(&["duties", "release", "planner"]).await;
        let expected = format!("{first} released it, term {term}");
        assert!(output.code == 0 && output.stdout.contains(&expected), "{output:?}");
        let (second, second_term) = first_holder(&coordinators).await;
        assert!(second != first && second != "n1" && second_term > term);
        let after = status(&coordinators).await;
        assert_eq!(after.duties[0].previous_holder, Some((first.clone(), EndReason::Operator)));
        assert_eq!(after.ended_terms.get(&EndReason::Operator), Some(&1));
        let leader = coordinators.leader(None).await;
        let log_line = format!("duty planner: {first} lost it, term {term}: released by an operator");
        assert!(coordinators.processes[leader].process().log_contains(&log_line));
    });
}

/// Guards against a command with invalid arguments that succeeds, or whose error has more than one line.
#[test]
fn invalid_duty_commands_are_one_line_and_exit_code_2() {
    run(async {
        let mut coordinators = Coordinators::new("duty-commands", "c", 3);
        add_duties(&coordinators, &["planner", "sweep"]);
        coordinators.start();
        coordinators.leader(None).await;
        for (arguments, expected) in [
            (&["duties", "release", "nothing"][..], "nothing: no such duty"),
            (&["duties", "release"][..], "duty"),
            (&["duties", "hold", "planner"][..], "Unrecognized argument"),
        ] {
            let output = coordinators.command(arguments).await;
            assert!(
                output.code == 2 && output.stdout.is_empty() && output.stderr.contains(expected),
                "{expected}: {output:?}"
            );
            assert_eq!(output.stderr.lines().count(), 1, "{output:?}");
        }
    });
}

/// Guards against a duty that stays with its holder after it was removed from the configuration file.
#[test]
fn a_duty_that_is_removed_from_the_file_ends_with_its_holder() {
    run(async {
        let mut coordinators = Coordinators::new("removed", "c", 1);
        add_duties(&coordinators, &["planner", "sweep"]);
        coordinators.start();
        coordinators.leader(None).await;
        let member = RunningMember::new(&coordinators, 2, true);
        let (_, term) = first_holder(&coordinators).await;

        coordinators.processes[0].kill();
        coordinators.processes[0].replace_in_config("[[duty]]\nname = \"planner\"\n", "");
        coordinators.processes[0].start();
        coordinators.leader(None).await;

        wait_until(|| async { status(&coordinators).await.duties.iter().all(|duty| duty.duty == "sweep") })
            .await;
        assert_eq!(member.term("planner"), None);
        let (name, next_term) = first_holder(&coordinators).await;
        assert!(name == "n2" && next_term >= term);
        let output = coordinators.command(&["duties", "release", "planner"]).await;
        assert!(output.code == 2 && output.stderr.contains("no such duty"), "{output:?}");
    });
}

/// Guards against an invalid file that is accepted, or whose error has more than one line.
#[test]
fn invalid_duties_are_one_line_and_exit_code_2() {
    let coordinators = Coordinators::new("bad-duties", "c", 1);
    add_duties(&coordinators, &["planner"]);
    let path = &coordinators.processes[0].config_path;
    let valid = std::fs::read_to_string(path).expect("a file");
    let check = |text: &str| {
        std::fs::write(path, text).expect("a file");
        let output = program(&["check", "--config"]).arg(path).output().expect("the program runs");
        CommandOutput::from(output)
    };

    let output = check(&valid);
    assert!(output.code == 0 && output.text().contains("1 duties"), "{output:?}");
    let more: String = (0..1_024).map(|number| format!("[[duty]]\nname = \"d{number}\"\n")).collect();
    assert_eq!(check(&valid.replace("[[duty]]\n", &format!("{more}[[duty]]\n"))).code, 0);
    for (old, new, expected) in [
        ("\"planner\"", "\"a/b\"", "duty[0].name: \"a/b\" is not a valid name"),
        ("\"planner\"", "\"\"", "duty[0].name: \"\" is not a valid name"),
        ("[[duty]]\n", "[[duty]]\nname = \"planner\"\n[[duty]]\n", "duty[1].name: planner is a duplicate"),
        ("duties_ms = 1500", "duties_ms = 100", "duties_ms: 100 is not between 300 and 60000"),
        (
            "duties_ms = 1500",
            "duties_ms = 900",
            "duties_ms: 900 is shorter than four heartbeats, beat_ms is 250",
        ),
        ("[[duty]]\n", "[[duty]]\nlength = 3\n", "unknown field `length`"),
    ] {
        let output = check(&valid.replacen(old, new, 1));
        assert!(output.code == 2 && output.text().contains(expected), "{expected}: {output:?}");
        assert_eq!(output.text().lines().count(), 1, "{output:?}");
    }
}
