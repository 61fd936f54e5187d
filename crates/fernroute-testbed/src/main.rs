//! The program `fernroute-testbed`.

use argh::FromArgs;
use fernroute_server::program::commands;
use fernroute_testbed::beside;
use fernroute_testbed::experiment::{self, Experiment};
use fernroute_testbed::live;
use fernroute_testbed::measure;
use fernroute_testbed::metrics::RunMetrics;
use fernroute_testbed::policy::Variant;
use fernroute_testbed::referee::Violation;
use fernroute_testbed::run;
use fernroute_testbed::scale;
use fernroute_testbed::scenario::Scenario;
use std::path::PathBuf;
use std::process::ExitCode;

const NAME: &str = "fernroute-testbed";

/// Plays fleets of fernroute balancers in virtual time.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Run(RunOne),
    Experiment(Compare),
    Cold(CountCold),
    Depth(MeasureDepth),
    Figures(CompareFigures),
    Live(Live),
    Balancer(RealOne),
    Beside(Beside),
    Steward(RealSteward),
    StewardStatus(AskSteward),
    Fleet(RunFleet),
    MeasureFleet(MeasureFleet),
    Scale(RunScale),
    ScaleFit(FitScale),
    Hollow(Hollow),
    ScaleStand(ScaleStand),
    StewardChange(ChangeStewards),
}

/// Read scenarios and say whether they will do.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
}

/// Play one scenario and print its figures; ends with 1 where a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunOne {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// who decides: fernroute (the default), fleet, random, round-robin, least-outstanding, two-choices
    #[argh(option, default = "String::from(\"fernroute\")")]
    variant: String,
    /// what chance starts from (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// write all that happened to this file, a line for each event
    #[argh(option)]
    trace: Option<PathBuf>,
}

/// Play scenarios, variants and seeds, and write tables and charts.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
struct Compare {
    /// experiment file
    #[argh(positional)]
    experiment: PathBuf,
    /// folder for the results; it must hold nothing
    #[argh(option)]
    out: PathBuf,
}

/// Play scenarios with fleets of several sizes, and say how near cold upstreams come to a fall; ends with 1 where one fell.
#[derive(FromArgs)]
#[argh(subcommand, name = "cold")]
struct CountCold {
    /// experiment file: scenarios, fleets, seeds
    #[argh(positional)]
    experiment: PathBuf,
}

/// Play a scenario of many tiers, of whose last some share errs, and say what each hop adds.
#[derive(FromArgs)]
#[argh(subcommand, name = "depth")]
struct MeasureDepth {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// how many seeds (default: 10)
    #[argh(option, default = "10")]
    seeds: u64,
}

/// Play all scenarios in virtual time and print the figures that differ from those of a file; ends with 1 where any does.
#[derive(FromArgs)]
#[argh(subcommand, name = "figures")]
struct CompareFigures {
    /// file of the expected figures
    #[argh(positional)]
    file: PathBuf,
    /// folder of the scenarios (default: lab/scenarios)
    #[argh(option, default = "PathBuf::from(\"lab/scenarios\")")]
    scenarios: PathBuf,
    /// write the figures to the file instead
    #[argh(switch)]
    write: bool,
}

/// Play one scenario against real processes on loopback, in real time; ends with 1 where a rule was broken, with 3
/// where the load was not kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "live")]
struct Live {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// what chance starts from (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// words that start a balancer, but for --config FILE (default: this program's own)
    #[argh(option)]
    program: Option<String>,
    /// words that start a steward, but for --config FILE (default: this program's own)
    #[argh(option)]
    steward: Option<String>,
    /// folder that is to keep the balancers' configurations and logs; it must hold nothing
    #[argh(option)]
    keep: Option<PathBuf>,
}

/// Serve as a real balancer, as `fernroute serve` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "balancer")]
struct RealOne {
    /// file that tells the balancer its place and terms
    #[argh(option)]
    config: String,
}

/// Start a balancer, and beside it stand-ins for the upstreams and the discovery that its file names; until Ctrl-C.
#[derive(FromArgs)]
#[argh(subcommand, name = "beside")]
struct Beside {
    /// file that tells the balancer its place and terms
    #[argh(option)]
    config: PathBuf,
    /// words that start a balancer, but for --config FILE (default: this program's own)
    #[argh(option)]
    program: Option<String>,
}

/// Serve as a real steward, as `fernroute-coordinator serve --first` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward")]
struct RealSteward {
    /// file that says who this steward is
    #[argh(option)]
    config: String,
}

/// Print what a steward knows, as `fernroute-coordinator status` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward-status")]
struct AskSteward {
    /// address of a steward
    #[argh(positional)]
    at: String,
}

/// Start three stewards, four balancers, stand-ins and a load on this machine, and print the ledger's status until Ctrl-C.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct RunFleet {}

/// Measure what a fleet costs and how long it takes to get over a loss: real processes on this machine, some minutes.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet-measure")]
struct MeasureFleet {
    /// only the leader's decisions, in virtual time: by members and budgets
    #[argh(switch)]
    leader: bool,
}

/// Run hollow balancers, real ones and stewards at the size that a file says, and measure what they cost. Ends with 1 where
/// something was lost or beyond the whole, with 2 for a file that will not do, with 3 where the load was not kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct RunScale {
    /// file of the run
    #[argh(positional)]
    file: PathBuf,
    /// how large, in parts of what the file says (default: 1)
    #[argh(option, default = "1.0")]
    factor: f64,
    /// write what was measured to this file, one object of JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Fit how each figure of scale runs grows with the number of balancers; four sizes at least.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale-fit")]
struct FitScale {
    /// what runs wrote with --json
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// work all out for so many balancers: four times those measured at the most
    #[argh(option)]
    at: Option<f64>,
}

/// Serve as several balancers that nobody asks: part of `scale`.
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
struct Hollow {
    /// folder of the balancers' files
    #[argh(option)]
    folder: PathBuf,
}

/// Stand in for discovery or for upstreams: part of `scale`.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale-stand")]
struct ScaleStand {
    /// file that says what to be
    #[argh(option)]
    config: PathBuf,
}

/// Change which stewards there are, as `fernroute-coordinator change` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward-change")]
struct ChangeStewards {
    /// a steward's file
    #[argh(option)]
    config: String,
}

fn own_program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(|e| format!("this program does not know its place: {e}"))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let line: Line = match commands::parse_arguments(NAME, &arguments) {
        Ok(line) => line,
        Err(code) => return code,
    };
    let done = match line.command {
        Command::Check(check) => check.scenarios.iter().try_for_each(|path| {
            let s = Scenario::read(path)?;
            println!("{}: {}, {} tiers, {} faults", path.display(), s.name, s.tier.len(), s.fault.len());
            Ok(())
        }),
        Command::Run(one) => match play(&one) {
            Ok(true) => Ok(()),
            Ok(false) => return ExitCode::FAILURE,
            Err(why) => Err(why),
        },
        Command::Experiment(compare) => {
            let command = format!("{NAME} {}", arguments[1..].join(" "));
            Experiment::read(&compare.experiment).and_then(|experiment| {
                // Before the work, not after it.
                experiment::create_empty_folder(&compare.out)?;
                let rows = experiment.run();
                experiment::write(&experiment, &rows, &compare.out, &command)?;
                print!("{}", experiment::table(&experiment::summarise(&rows), experiment.seeds.len()));
                Ok(())
            })
        }
        Command::Cold(count) => match experiment::cold::Experiment::read(&count.experiment) {
            Ok(experiment) => {
                let rows = experiment.run();
                print!("{}", experiment::cold::table(&rows));
                return ExitCode::from(u8::from(rows.iter().any(|row| row.violating > 0)));
            }
            Err(why) => Err(why),
        },
        Command::Depth(of) => Scenario::read(&of.scenario).map(|scenario| {
            print!("{}", experiment::depth::table(&scenario, of.seeds));
        }),
        Command::Figures(of) => match compare_figures(&of) {
            Ok(code) => return code,
            Err(why) => Err(why),
        },
        Command::Live(one) => match play_live(&one) {
            Ok(code) => return ExitCode::from(code),
            Err(why) => Err(why),
        },
        Command::Beside(one) => {
            match balancer_words(one.program.as_deref()).and_then(|words| beside::run(&one.config, &words)) {
                Ok(code) => return ExitCode::from(code),
                Err(why) => Err(why),
            }
        }
        Command::Steward(one) => {
            let words = ["fernroute-coordinator", "serve", "--first", "--config", &one.config];
            return fernroute_coordinator::commands::run(&words.map(str::to_owned));
        }
        Command::StewardStatus(ask) => {
            return fernroute_coordinator::commands::run(
                &["fernroute-coordinator", "status", &ask.at].map(str::to_owned),
            );
        }
        Command::Fleet(RunFleet {}) => own_program().and_then(|program| beside::run_fleet(&program)),
        Command::MeasureFleet(MeasureFleet { leader: true }) => {
            measure::measure_leader();
            Ok(())
        }
        Command::MeasureFleet(_) => own_program().and_then(|program| measure::run(&program)),
        Command::Scale(one) => match play_scale(&one) {
            Ok(code) => return ExitCode::from(code),
            Err(why) => Err(why),
        },
        Command::ScaleFit(fit) => scale::fit::read_reports(&fit.files).and_then(|runs| {
            print!("{}", scale::fit::table(&scale::fit::fit_all(&runs)?, fit.at)?);
            Ok(())
        }),
        Command::Hollow(one) => scale::hollow::run(&one.folder),
        Command::ScaleStand(one) => scale::stand_in::run(&one.config),
        Command::StewardChange(change) => {
            let words = ["fernroute-coordinator", "change", "--config", &change.config];
            return fernroute_coordinator::commands::run(&words.map(str::to_owned));
        }
        Command::Balancer(one) => {
            let words = ["fernroute", "serve", "--config", &one.config];
            return commands::run(words.map(str::to_owned).to_vec());
        }
    };
    done.map_or_else(|why| commands::exit_with_error(NAME, &why), |()| ExitCode::SUCCESS)
}

fn compare_figures(of: &CompareFigures) -> Result<ExitCode, String> {
    let found = experiment::figures::figures_of_folder(&of.scenarios)?;
    let unusable = |error: std::io::Error| format!("{}: {error}", of.file.display());
    if of.write {
        std::fs::write(&of.file, found.join("\n") + "\n").map_err(unusable)?;
        return Ok(ExitCode::SUCCESS);
    }
    let expected: Vec<String> =
        std::fs::read_to_string(&of.file).map_err(unusable)?.lines().map(str::to_owned).collect();
    let differences = experiment::figures::differences(&expected, &found);
    for line in &differences {
        println!("{line}");
    }
    println!("{} lines expected, {} found, {} differ", expected.len(), found.len(), differences.len());
    Ok(if differences.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Tells whether all rules were kept.
fn play(one: &RunOne) -> Result<bool, String> {
    let (scenario, variant) = (Scenario::read(&one.scenario)?, Variant::from_name(&one.variant)?);
    let make = |s: &Scenario, post, desk, now, seed| variant.policy(s, post, desk, now, seed);
    let result = match &one.trace {
        None => run::run(&scenario, variant, one.seed),
        Some(path) => {
            let mut lines: Vec<(u64, String)> = Vec::new();
            let fleet = variant == Variant::Fleet;
            let result = run::run_with_options(&scenario, one.seed, &make, fleet, &mut lines);
            let text: String = lines
                .iter()
                .map(|(at, line)| format!("{}.{:04} {line}\n", at / 10_000, at % 10_000))
                .collect();
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            result
        }
    };
    println!("{} ({}, seed {})", scenario.name, variant.name(), one.seed);
    print(&result.metrics, &result.violations);
    Ok(result.violations.is_empty())
}

fn print(metrics: &RunMetrics, violations: &[Violation]) {
    println!("service {:.4}, worst ten seconds {:.4}", metrics.service(), metrics.worst_ten());
    for m in &metrics.methods {
        println!("  {}: {} of {} served in time", m.name, m.served, m.offered);
    }
    for t in &metrics.tenants {
        println!("  {}: {:.4} of what could be used of its whole", t.name, t.utilization());
    }
    let (at, ends) = (|q: f64| metrics.latencies.value_at_quantile(q) as f64 / 10.0, metrics.ends);
    println!("answered within {:.1} ms (half), {:.1} ms (99 in 100)", at(0.5), at(0.99));
    println!(
        "RPCs {}: completed {}, exhausted {}, errored {}, abandoned {}, lost with their balancer {}; transmissions {}",
        ends.arrived, ends.completed, ends.exhausted, ends.errored, ends.abandoned, ends.lost, metrics.attempts
    );
    for b in violations {
        println!("BROKEN at {}.{:04} s: {:?}: {}", b.at / 10_000, b.at % 10_000, b.rule, b.description);
    }
}

/// What starts a balancer: these words, or this program's own.
fn balancer_words(named: Option<&str>) -> Result<Vec<String>, String> {
    if let Some(words) = named {
        return Ok(words.split_whitespace().map(str::to_owned).collect());
    }
    Ok(vec![own_program()?.display().to_string(), "balancer".to_owned()])
}

/// The exit code.
fn play_live(one: &Live) -> Result<u8, String> {
    let scenario = Scenario::read(&one.scenario)?;
    let program = balancer_words(one.program.as_deref())?;
    let folder = one
        .keep
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("fernroute-testbed-{}", std::process::id())));
    experiment::create_empty_folder(&folder)?;
    let steward = match &one.steward {
        Some(words) => words.split_whitespace().map(str::to_owned).collect(),
        None => vec![own_program()?.display().to_string(), "steward".to_owned()],
    };
    let report = live::run(&scenario, one.seed, &program, &steward, &folder);
    if one.keep.is_none() {
        // What is left of it does no harm.
        let _ = std::fs::remove_dir_all(&folder);
    }
    let report = report?;
    println!("{} (real processes, seed {})", scenario.name, one.seed);
    print(&report.metrics, &report.violations);
    println!(
        "requests sent late {} of {}, by up to {} ms",
        report.sent_late,
        report.requests,
        report.max_delay.as_millis()
    );
    Ok(match report.invalid_reason() {
        Some(why) => {
            println!("INVALID: {why}");
            3
        }
        None => u8::from(!report.violations.is_empty()),
    })
}

/// The exit code.
fn play_scale(one: &RunScale) -> Result<u8, String> {
    let layout = scale::prepare(&one.file, one.factor)?;
    // Short: sockets' paths are made of it.
    let folder = std::env::temp_dir().join(format!("fernroute-scale-{}", std::process::id()));
    experiment::create_empty_folder(&folder)?;
    let report = scale::run(layout, one.factor, &own_program()?, &folder);
    // What is left of it does no harm.
    let _ = std::fs::remove_dir_all(&folder);
    let report = match report {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{NAME}: it did not come to its end: {}", error.reason);
            return Ok(error.exit_code);
        }
    };
    report.print();
    if let Some(path) = &one.json {
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(report.exit_code())
}
