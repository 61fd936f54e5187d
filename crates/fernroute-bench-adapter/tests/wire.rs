//! The bench protocol: the reply to a batch, and the lines that end a session with an error.

use std::io::Write as _;
use std::process::{Command, Stdio};

const HELLO: &str = "hello\trandom-seed=5\tn-instances=2\tlayer=0\tzone=a\tceilings.max-transmissions=3\t\
    ceilings.second-copies=true\tceilings.novel=7\tcontract.cold-from=0.2\tcontract.overload-for-s=1\t\
    contract.tip-multiple=3\tcontract.warm-within-s=20\tfeedback.names=avg_ms,cpu\tmembership-mode=automatic\t\
    methods.count=1\tmethods.0.effect=read_like\tmethods.0.name=look\tmethods.0.soft-deadline-s=1.0";
const LIST: &str = "manifest\tset-id=2\telements=1\n\
    entry\tupstream=10.0.0.1:80\track-zone=a\tkind=k\tblock=0\tstate=1\tsize=1\nupdate\tmode=0\tepoch=1\tset-id=2";
const KNOCK: &str = "knock\tcall=c-1\tqos=look\ttime-budget-s=2.00005";

/// Runs the program on one batch of these lines; returns its output, and its standard error if it failed.
fn serve(lines: &[&str]) -> (String, Result<(), String>) {
    let batch = lines.join("\n") + "\neob\n";
    let input = format!("clock\tat-time-s=8.41225\tserial=12\nfor\twho=3\n{batch}");
    let mut program = Command::new(env!("CARGO_BIN_EXE_fernroute-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The program may end before it has read all input.
    let _ = program.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    let output = program.wait_with_output().expect("the program ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
    let end = match output.status.code() {
        Some(0) => Ok(()),
        code => {
            assert_eq!(code, Some(2));
            Err(text(output.stderr))
        }
    };
    (text(output.stdout), end)
}

#[test]
fn batch_is_answered_with_the_actions_of_the_instance() {
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
fn attempt_with_unknown_outcome_may_have_run() {
    let reply = "reply\tcall=c-1\thop=0\tupstream=10.0.0.1:80\tresult=novel\ttook-s=0.1\tended=0";
    let not_idempotent = HELLO.replace("read_like", "non_idempotent");
    let (out, end) = serve(&[&not_idempotent, LIST, KNOCK, reply]);
    assert_eq!(end, Ok(()));
    assert!(out.contains("surrender\tcall=c-1\n") && !out.contains("bounce"), "{out}");
}

#[test]
fn unusable_line_ends_the_session_and_is_named_in_the_error() {
    let assert_error_names = |line: &str, field: &str| {
        let error = serve(&[HELLO, LIST, KNOCK, line]).1.expect_err(line);
        assert!(error.contains(field) && error.contains(line.split('\t').next().unwrap_or("")), "{error}");
    };
    assert_error_names("knock\tcall=c-2\tqos=look", "time-budget-s");
    assert_error_names("knock\tcall=c-2\tqos=look\ttime-budget-s=soon", "time-budget-s");
    assert_error_names("reply\tcall=c-1\thop=x\tresult=success\ttook-s=1", "hop");
    assert_error_names("update\tmode=1\tset-id=9", "9");
    assert_error_names("hello\trandom-seed=1\tmethods.count=0", "contract.cold-from");
    let nameless = HELLO.replace("methods.0.name=look\t", "");
    assert_error_names(&nameless, "methods.0.name");
    assert_error_names("bell", "key-back");
}
