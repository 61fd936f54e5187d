//! The command line as operators see it: exit codes and error messages, compared with fixed texts. `PROGRAM` stands for the
//! program's name, `FILE` for the file's path.

use std::path::Path;
use std::process::Command;

const CONFIG: &str = "cluster = \"c\"\nname = \"a\"\nfolder = \"/tmp/a\"\n[[steward]]\nname = \"a\"\naddress = \"127.0.0.1:7001\"\n[[budget]]\nname = \"acme\"\nwhole = 200\n[[duty]]\nname = \"sweep\"\n";

/// A text of the file, its replacement, and the expected error.
const ERRORS: &[(&str, &str, &str)] = &[
    ("cluster = \"c\"", "cluster = \"\"", "PROGRAM: FILE: cluster: is empty\n"),
    ("name = \"a\"\nfolder", "name = \"b\"\nfolder", "PROGRAM: FILE: name: no [[steward]] is named b\n"),
    ("folder", "members = 0\nfolder", "PROGRAM: FILE: members: 0 is not between 1 and 10000\n"),
    ("folder", "shares_ms = 100\nfolder", "PROGRAM: FILE: shares_ms: 100 is not between 300 and 60000; shares_ms: 100 is shorter than three heartbeats, beat_ms is 250\n"),
    ("folder", "beat_ms = 5\nfolder", "PROGRAM: FILE: beat_ms: 5 is not between 10 and 10000\n"),
    ("folder", "beat_ms = 700\nfolder", "PROGRAM: FILE: shares_ms: 2000 is shorter than three heartbeats, beat_ms is 700\n"),
    ("folder", "floors_s = 1\nfolder", "PROGRAM: FILE: floors_s: 1 is shorter than shares_ms or longer than one day\n"),
    ("folder", "drift_ppm = 200000\nfolder", "PROGRAM: FILE: drift_ppm: 200000 is greater than 100000\n"),
    ("folder", "duties_ms = 100\nfolder", "PROGRAM: FILE: duties_ms: 100 is not between 300 and 60000; duties_ms: 100 is shorter than four heartbeats, beat_ms is 250\n"),
    ("7001", "0", "PROGRAM: FILE: steward[0].address: 127.0.0.1:0 has no port\n"),
    ("whole = 200", "whole = 0\nfloors = 2", "PROGRAM: FILE: budget[0].whole: 0 is not between 0.001 and 1e9; budget[0].floors: 2 is not between 0 and 1\n"),
    ("\"sweep\"", "\"a/b\"", "PROGRAM: FILE: duty[0].name: \"a/b\" is not a valid name\n"),
    ("folder", "fodder = 1\nfolder", "PROGRAM: FILE: line 3: unknown field `fodder`, expected one of `cluster`, `name`, `folder`, `members`, `shares_ms`, `duties_ms`, `beat_ms`, `floors_s`, `drift_ppm`, `steward`, `budget`, `duty`\n"),
    ("cluster = \"c\"", "cluster = c", "PROGRAM: FILE: line 1: string values must be quoted, expected literal string\n"),
];

const PROGRAM: &str = env!("CARGO_BIN_EXE_fernroute-coordinator");

fn run(folder: &Path, text: &str) -> (Option<i32>, String, String) {
    let path = folder.join("steward.toml");
    std::fs::write(&path, text).expect("a file");
    let output =
        Command::new(PROGRAM).args(["check", "--config"]).arg(&path).output().expect("the program runs");
    let name = Path::new(PROGRAM).file_name().expect("a name").to_string_lossy().into_owned();
    let error = String::from_utf8_lossy(&output.stderr)
        .replace(&path.display().to_string(), "FILE")
        .replace(&format!("{name}: "), "PROGRAM: ");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned(), error)
}

#[test]
fn an_invalid_file_gives_one_line_and_exit_code_2() {
    let folder = std::env::temp_dir().join(format!("fernroute-coordinator-errors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (code, _, error) = run(&folder, CONFIG);
    assert_eq!((code, error.as_str()), (Some(0), ""));
    for (old, new, expected) in ERRORS {
        assert!(CONFIG.contains(old), "{old}");
        let (code, output, error) = run(&folder, &CONFIG.replacen(old, new, 1));
        assert_eq!((code, output.as_str(), error.as_str()), (Some(2), "", *expected));
    }
    let _ = std::fs::remove_dir_all(&folder);
}
