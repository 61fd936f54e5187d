//! The bench's wire: decode a line, rename, convert, call the balancer it is for; flush each reply.

use fernroute::host::{Host, Outcome, Settings, Time, Timer};
use fernroute::Balancer;
use fernroute_settings::{path, seconds, term, time};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

fn outcome(w: &str) -> Outcome {
    match w {
        "success" => Outcome::Completed,
        "failure" => Outcome::Failed,
        "overloaded" => Outcome::Rejected,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::ConnectFailed,
        "broken" => Outcome::Reset,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

/// The text under which the wire gives a timer back.
fn timer_key(timer: &Timer) -> String {
    match timer {
        Timer::Queued(rpc) => format!("held:{rpc}"),
        Timer::EndpointPoll(poll) => format!("ask:{poll}"),
    }
}

/// The timer of a text; none for one that no timer of this version has.
fn timer_of_key(key: &str) -> Option<Timer> {
    match key.split_once(':')? {
        ("held", rpc) => Some(Timer::Queued(rpc.into())),
        ("ask", poll) => poll.parse().ok().map(Timer::EndpointPoll),
        _ => None,
    }
}

/// The members of one line: name and value pairs in any order.
struct Line<'a> {
    name: &'a str,
    text: &'a str,
}

impl<'a> Line<'a> {
    fn new(text: &'a str) -> Self {
        let (name, text) = text.split_once('\t').unwrap_or((text, ""));
        Line { name, text }
    }

    fn get(&self, member: &str) -> Option<&'a str> {
        self.text.split('\t').find_map(|part| part.strip_prefix(member)?.strip_prefix('='))
    }

    fn need(&self, member: &str) -> Result<&'a str, String> {
        self.get(member).ok_or_else(|| format!("line '{}' lacks '{member}'", self.name))
    }

    fn number<T: std::str::FromStr>(&self, member: &str) -> Result<T, String> {
        let text = self.need(member)?;
        text.parse().map_err(|_| format!("line '{}': '{member}' is not readable", self.name))
    }

    fn time(&self, member: &str) -> Result<Time, String> {
        time(self.need(member)?).ok_or_else(|| format!("line '{}': '{member}' is not readable", self.name))
    }

    /// A time that may be absent; one that is there must be readable.
    fn maybe_time(&self, member: &str) -> Result<Time, String> {
        self.get(member).map_or(Ok(0), |_| self.time(member))
    }

    fn flag(&self, member: &str) -> bool {
        matches!(self.get(member), Some("1" | "true"))
    }

    fn loads(&self) -> Vec<f64> {
        let row = self.get("gauge").unwrap_or("");
        row.split(',').filter(|v| !v.is_empty()).map(|v| v.parse().unwrap_or(f64::NAN)).collect()
    }
}

/// One instance's acts, written as they are made.
#[derive(Clone, Default)]
struct Desk(Rc<RefCell<String>>);

impl Desk {
    fn put(&self, act: std::fmt::Arguments<'_>) {
        let mut text = self.0.borrow_mut();
        let _ = text.write_fmt(act);
        text.push('\n');
    }
}

impl Host for Desk {
    fn start_attempt(&mut self, rpc: &str, upstream: &str, time_out: Time, _: Option<Time>) {
        let cap = seconds(time_out);
        self.put(format_args!("hand_off\tcall={rpc}\tupstream={upstream}\tcap-s={cap}"));
    }
    fn cancel_attempt(&mut self, rpc: &str, tx: usize) {
        self.put(format_args!("abort_attempt\tcall={rpc}\thop={tx}"));
    }
    fn reject(&mut self, rpc: &str, stay_away: Time) {
        self.put(format_args!("bounce\tcall={rpc}\tpause-s={}", seconds(stay_away)));
    }
    fn fail(&mut self, rpc: &str) {
        self.put(format_args!("surrender\tcall={rpc}"));
    }
    fn set_timer(&mut self, after: Time, timer: Timer) {
        let key = timer_key(&timer);
        self.put(format_args!("sleep\twait-s={}\tkey-back={key}", seconds(after)));
    }
    fn watch_endpoints(&mut self) {
        self.put(format_args!("keep_informed\twant=1"));
    }
    fn log(&mut self, line: &str) {
        self.put(format_args!("journal_line\tline={line}"));
    }
}

/// Hosts the instances of one process. The numbered upstream lists are all that they share.
#[derive(Default)]
pub struct Link {
    /// Balancer and buffer by instance; a teardown empties it.
    instances: BTreeMap<i64, (Balancer<Desk>, Desk)>,
    /// The lines of each numbered list; sixteen numbers, used again.
    lists: BTreeMap<u32, Vec<String>>,
}

impl Link {
    /// Answers batches until the input ends.
    pub fn serve(&mut self, input: &mut impl BufRead, out: &mut impl Write) -> Result<(), String> {
        let (mut line, mut now, mut serial, mut who) = (String::new(), 0, String::new(), None);
        let (mut open_list, mut list_left) = (0, 0usize);
        let io_trouble = |e: io::Error| e.to_string();
        loop {
            line.clear();
            if input.read_line(&mut line).map_err(io_trouble)? == 0 {
                return Ok(());
            }
            let text = line.trim_end_matches(['\n', '\r']);
            let l = Line::new(text);
            match l.name {
                "clock" => {
                    now = l.time("at-time-s")?;
                    serial = l.need("serial")?.to_owned();
                    who = None;
                }
                "eob" => {
                    self.reply(&serial, out).map_err(io_trouble)?;
                    out.flush().map_err(io_trouble)?;
                }
                "for" => who = Some(l.number::<i64>("who")?),
                "manifest" => {
                    (open_list, list_left) = (l.number("set-id")?, l.number("elements")?);
                    self.lists.insert(open_list, Vec::new());
                }
                "entry" if list_left > 0 => {
                    list_left -= 1;
                    self.lists.entry(open_list).or_default().push(text.to_owned());
                }
                _ => {
                    if let Some(who) = who {
                        self.event(who, now, &l)?;
                    }
                }
            }
        }
    }

    fn reply(&mut self, serial: &str, out: &mut impl Write) -> io::Result<()> {
        for (who, (_, desk)) in &self.instances {
            let mut acts = desk.0.borrow_mut();
            if !acts.is_empty() {
                write!(out, "source\twho={who}\n{acts}")?;
                acts.clear();
            }
        }
        writeln!(out, "next\tserial={serial}")
    }

    fn event(&mut self, who: i64, now: Time, l: &Line<'_>) -> Result<(), String> {
        if l.name == "hello" {
            let seed = l.number::<u64>("random-seed")?;
            let pairs = l.text.split('\t').filter_map(|part| part.split_once('='));
            let terms: Settings = pairs.filter_map(|(path, value)| term(path, value)).collect();
            let desk = Desk::default();
            let balancer = Balancer::new(desk.clone(), now, seed, &terms)
                .map_err(|e| format!("line 'hello': {} '{}'", e.why, path(&e.setting)))?;
            self.instances.insert(who, (balancer, desk));
            return Ok(());
        }
        if l.name == "teardown" {
            self.instances.remove(&who);
            return Ok(());
        }
        let Some((b, _)) = self.instances.get_mut(&who) else { return Ok(()) };
        match l.name {
            "update" => match l.number::<u8>("mode")? {
                3 => b.watch_failed(now),
                mode @ 0..=2 => {
                    let id = l.number::<u32>("set-id")?;
                    let entries = self.lists.get(&id).ok_or(format!("line 'update': no list {id}"))?;
                    b.snapshot_started(now, mode != 2);
                    for entry in entries {
                        let e = Line::new(entry);
                        let (id, state) = (e.need("upstream")?, e.number::<u8>("state")?);
                        match state {
                            1 => b.upstream_ready(
                                id,
                                e.get("rack-zone").unwrap_or(""),
                                e.get("block").unwrap_or(""),
                                e.get("kind").unwrap_or(""),
                                e.maybe_time("up-since-s")?,
                            ),
                            2 => b.upstream_draining(id),
                            3 => b.upstream_removed(id),
                            _ => {}
                        }
                    }
                    b.snapshot_complete(mode != 0);
                }
                _ => {}
            },
            "knock" => b.rpc_arrived(
                now,
                l.need("call")?,
                l.need("qos")?,
                l.get("billing").unwrap_or(""),
                l.get("object").unwrap_or(""),
                l.time("time-budget-s")?,
            ),
            "reply" => b.attempt_ended(
                now,
                l.need("call")?,
                l.number("hop")?,
                outcome(l.need("result")?),
                l.time("took-s")?,
                l.flag("ended"),
                &l.loads(),
            ),
            "aborted" => b.rpc_abandoned(now, l.need("call")?),
            "started" => b.response_started(now, l.need("call")?),
            "bell" => {
                if let Some(timer) = timer_of_key(l.need("key-back")?) {
                    b.timer(now, &timer);
                }
            }
            _ => {}
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HELLO: &str = "hello\trandom-seed=5\tn-instances=2\tlayer=0\tzone=a\tceilings.max-transmissions=3\t\
        ceilings.second-copies=true\tceilings.novel=7\tcontract.cold-from=0.2\tcontract.overload-for-s=1\t\
        contract.tip-multiple=3\tcontract.warm-within-s=20\tfeedback.names=avg_ms,cpu\tmembership-mode=automatic\t\
        methods.count=1\tmethods.0.effect=read_like\tmethods.0.name=look\tmethods.0.soft-deadline-s=1.0";
    const LIST: &str = "manifest\tset-id=2\telements=1\n\
        entry\tupstream=10.0.0.1:80\track-zone=a\tkind=k\tblock=0\tstate=1\tsize=1\nupdate\tmode=0\tepoch=1\tset-id=2";
    const KNOCK: &str = "knock\tcall=c-1\tqos=look\ttime-budget-s=2.00005";

    fn serve(lines: &[&str]) -> (String, Result<(), String>) {
        let (mut out, batch) = (Vec::new(), lines.join("\n") + "\neob\n");
        let input = format!("clock\tat-time-s=8.41225\tserial=12\nfor\twho=3\n{batch}");
        let end = Link::default().serve(&mut input.as_bytes(), &mut out);
        (String::from_utf8(out).expect("the wire is text"), end)
    }

    #[test]
    fn a_whole_batch() {
        let (out, end) =
            serve(&[HELLO, LIST, KNOCK, "novel\tx=1", "bell\tkey-back=old", "started\tcall=z\thop=0"]);
        assert_eq!(end, Ok(()));
        assert!(
            out.starts_with("source\twho=3\nhand_off\tcall=c-1\tupstream=10.0.0.1:80\tcap-s=0.7000\n"),
            "{out}"
        );
        assert!(out.ends_with("next\tserial=12\n"), "{out}");
    }

    #[test]
    fn an_unknown_outcome_may_have_run() {
        let reply = "reply\tcall=c-1\thop=0\tupstream=10.0.0.1:80\tresult=novel\ttook-s=0.1\tended=0";
        let once = HELLO.replace("read_like", "non_idempotent");
        let (out, end) = serve(&[&once, LIST, KNOCK, reply]);
        assert_eq!(end, Ok(()));
        assert!(out.contains("surrender\tcall=c-1\n") && !out.contains("bounce"), "{out}");
    }

    #[test]
    fn bad_lines_end_it_and_are_named() {
        let lacks = |line: &str, member: &str| {
            let end = serve(&[HELLO, LIST, KNOCK, line]).1.expect_err(line);
            assert!(end.contains(member) && end.contains(line.split('\t').next().unwrap_or("")), "{end}");
        };
        lacks("knock\tcall=c-2\tqos=look", "time-budget-s");
        lacks("knock\tcall=c-2\tqos=look\ttime-budget-s=soon", "time-budget-s");
        lacks("reply\tcall=c-1\thop=x\tresult=success\ttook-s=1", "hop");
        lacks("update\tmode=1\tset-id=9", "9");
        lacks("hello\trandom-seed=1\tmethods.count=0", "contract.cold-from");
        let nameless = HELLO.replace("methods.0.name=look\t", "");
        lacks(&nameless, "methods.0.name");
        lacks("bell", "key-back");
    }
}
