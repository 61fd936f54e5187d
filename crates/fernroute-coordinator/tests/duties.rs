//! Duties at real stewards: commands, members of before beside new ones, and files that won't do.

mod common;

use common::{run, until, Asks, Stewards};
use fernroute_coordinator::duties::DutiesStatus;
use fernroute_coordinator::replica::now;
use fernroute_fleet::duties::holder::MemberDuties;
use fernroute_fleet::duties::EndReason;
use std::cell::RefCell;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(50);

/// A member that beats on a task of its own.
struct Member {
    asks: Rc<RefCell<Asks>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Member {
    fn new(stewards: &Stewards, n: u64, takes_duties: bool) -> Self {
        let mut asks = Asks::new(&format!("n{n}"), n, 10_000);
        asks.duties = takes_duties.then(|| MemberDuties::new(n));
        let asks = Rc::new(RefCell::new(asks));
        let (own, peers, at) = (Rc::clone(&asks), stewards.peers.clone(), stewards.addresses());
        // Nobody else holds it while it is answered.
        #[allow(clippy::await_holding_refcell_ref)]
        let task = actix_rt::spawn(async move {
            loop {
                if let Ok(mut asks) = own.try_borrow_mut() {
                    asks.beat(&peers, &at).await;
                }
                actix_rt::time::sleep(BEAT).await;
            }
        });
        Member { asks, task }
    }

    /// The terms of this duty that it may act under; none while it waits for an answer.
    fn term(&self, duty: &str) -> Option<u64> {
        self.asks.try_borrow().ok()?.duties.as_ref()?.term(now(), duty)
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn with_duties(stewards: &Stewards, names: &[&str]) {
    let text: String = names.iter().map(|name| format!("[[duty]]\nname = \"{name}\"\n")).collect();
    for place in &stewards.places {
        place.change_page("[[budget]]", &format!("{text}[[budget]]"));
        place.change_page("shares_ms = 3000", "shares_ms = 3000\nduties_ms = 1500");
    }
}

async fn status(stewards: &Stewards) -> DutiesStatus {
    let (code, out, why) = stewards.command(&["duties", "status", "--json"]).await;
    assert_eq!(code, 0, "{why}");
    serde_json::from_str(&out).expect("a status")
}

/// Waits until each duty is held; who holds the first, and under which term.
async fn held(stewards: &Stewards) -> (String, u64) {
    let found = RefCell::new(None);
    until(|| async {
        let status = status(stewards).await;
        let is_held = !status.duties.is_empty() && status.duties.iter().all(|line| line.holder.is_some());
        found.replace(status.duties.into_iter().next().and_then(|line| line.holder));
        is_held
    })
    .await;
    let holder = found.take().expect("it is held");
    (holder.name, holder.term)
}

/// Guards against two holders where members ask in one moment, a duty at a member that knows of none, and commands that say
/// something else than what is so.
#[test]
fn commands_tell_who_holds_what_and_release_it_to_another() {
    run(async {
        let mut stewards = Stewards::new("duties", "c", 3);
        with_duties(&stewards, &["planner", "sweep"]);
        stewards.start();
        stewards.leader(None).await;
        // All in one moment, and one of a version before beside them.
        let members: Vec<Member> = (1..=4).map(|n| Member::new(&stewards, n, n != 1)).collect();
        let (first, term) = held(&stewards).await;
        assert_ne!(first, "n1");
        until(|| async { members.iter().any(|member| member.term("planner") == Some(term)) }).await;
        let acts = members.iter().filter(|member| member.term("planner").is_some()).count();
        assert!(acts <= 1, "{acts} act on it");
        let (code, out, _) = stewards.command(&["duties", "status"]).await;
        let line = out.lines().find(|line| line.starts_with("planner")).expect("its line");
        assert!(code == 0 && line.contains(&first) && line.contains(&term.to_string()), "{out}");
        let (code, out, why) = stewards.command(&["duties", "release", "planner"]).await;
        assert!(code == 0 && out.contains(&format!("{first} gave it up, term {term}")), "{code} {out}{why}");
        let (second, next) = held(&stewards).await;
        assert!(second != first && second != "n1" && next > term);
        let after = status(&stewards).await;
        assert_eq!(after.duties[0].before, Some((first.clone(), EndReason::Operator)));
        assert_eq!(after.ended.get(&EndReason::Operator), Some(&1));
        let leader = stewards.leader(None).await;
        let told =
            format!("duty planner: {first} holds it no more, term {term}: an operator had it released");
        assert!(stewards.places[leader].process().says(&told));
        for (words, what) in [
            (&["duties", "release", "nothing"][..], "nothing: no such duty"),
            (&["duties", "release"][..], "duty"),
            (&["duties", "hold", "planner"][..], "Unrecognized argument"),
        ] {
            let (code, out, why) = stewards.command(words).await;
            assert!(code == 2 && out.is_empty() && why.contains(what), "{what}: {code} {out}{why}");
            assert_eq!(why.lines().count(), 1, "{why}");
        }
    });
}

/// Guards against a duty that stays with its holder when the files name it no more.
#[test]
fn a_duty_that_is_named_no_more_ends_with_its_holder() {
    run(async {
        let mut stewards = Stewards::new("removed", "c", 1);
        with_duties(&stewards, &["planner", "sweep"]);
        stewards.start();
        stewards.leader(None).await;
        let member = Member::new(&stewards, 2, true);
        let (_, term) = held(&stewards).await;
        stewards.places[0].process().kill();
        stewards.places[0].change_page("[[duty]]\nname = \"planner\"\n", "");
        stewards.places[0].start();
        stewards.leader(None).await;
        until(|| async { status(&stewards).await.duties.iter().all(|line| line.duty == "sweep") }).await;
        assert_eq!(member.term("planner"), None);
        let (name, next) = held(&stewards).await;
        assert!(name == "n2" && next >= term);
        let (code, _, why) = stewards.command(&["duties", "release", "planner"]).await;
        assert!(code == 2 && why.contains("no such duty"), "{why}");
    });
}

/// Guards against a bad file that is told of in many lines, or taken.
#[test]
fn names_and_leases_that_will_not_do_are_one_line_and_code_2() {
    let stewards = Stewards::new("bad-duties", "c", 1);
    with_duties(&stewards, &["planner"]);
    let good = std::fs::read_to_string(&stewards.places[0].page).expect("a file");
    let check = |text: &str| {
        std::fs::write(&stewards.places[0].page, text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
        let said =
            command.args(["check", "--config"]).arg(&stewards.places[0].page).output().expect("it runs");
        let text = String::from_utf8_lossy(&[said.stdout, said.stderr].concat()).into_owned();
        (said.status.code(), text)
    };
    let (code, out) = check(&good);
    assert!(code == Some(0) && out.contains("1 duties"), "{out}");
    let many: String = (0..1_024).map(|n| format!("[[duty]]\nname = \"d{n}\"\n")).collect();
    assert_eq!(check(&good.replace("[[duty]]\n", &format!("{many}[[duty]]\n"))).0, Some(0));
    for (old, new, what) in [
        ("\"planner\"", "\"a/b\"", "duty[0].name: \"a/b\" won't do"),
        ("\"planner\"", "\"\"", "duty[0].name: \"\" won't do"),
        ("[[duty]]\n", "[[duty]]\nname = \"planner\"\n[[duty]]\n", "duty[1].name: planner is there twice"),
        ("duties_ms = 1500", "duties_ms = 100", "duties_ms: 100 is not between 300 and 60000"),
        ("duties_ms = 1500", "duties_ms = 900", "duties_ms: 900 is shorter than four beats of beat_ms: 250"),
        ("[[duty]]\n", "[[duty]]\nlength = 3\n", "unknown field `length`"),
    ] {
        let (code, out) = check(&good.replacen(old, new, 1));
        assert!(code == Some(2) && out.contains(what), "{what}: {out}");
        assert_eq!(out.lines().count(), 1, "{out}");
    }
}
