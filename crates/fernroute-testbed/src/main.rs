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

/// Simulates fleets of fernroute balancers in virtual time.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Run(RunScenario),
    Experiment(RunExperiment),
    Cold(RunCold),
    Depth(MeasureDepth),
    Figures(CompareFigures),
    Live(Live),
    Balancer(ServeBalancer),
    Beside(Beside),
    Coordinator(ServeCoordinator),
    CoordinatorStatus(CoordinatorStatus),
    Fleet(RunFleet),
    MeasureFleet(MeasureFleet),
    Scale(RunScale),
    ScaleFit(FitScale),
    Hollow(Hollow),
    ScaleStand(ScaleStand),
    CoordinatorChange(ChangeCoordinators),
}

/// Validate scenario files.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
}

/// Simulate one scenario and print its figures; exits with 1 if a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunScenario {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// balancing policy: fernroute (the default), fleet, random, round-robin, least-outstanding, two-choices
    #[argh(option, default = "String::from(\"fernroute\")")]
    variant: String,
    /// random seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// write all events to this file, one per line
    #[argh(option)]
    trace: Option<PathBuf>,
}

/// Run scenarios with several variants and seeds, and write tables and charts.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
struct RunExperiment {
    /// experiment file
    #[argh(positional)]
    experiment: PathBuf,
    /// folder for the results; must be empty
    #[argh(option)]
    out: PathBuf,
}

/// Simulate scenarios with fleets of several sizes and print how close cold upstreams come to overload; exits with 1 if the
/// rule on cold upstreams was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "cold")]
struct RunCold {
    /// experiment file: scenarios, fleets, seeds
    #[argh(positional)]
    experiment: PathBuf,
}

/// Simulate a scenario of many tiers with errors at the last one and print what each tier adds.
#[derive(FromArgs)]
#[argh(subcommand, name = "depth")]
struct MeasureDepth {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// number of seeds (default: 10)
    #[argh(option, default = "10")]
    seeds: u64,
}

/// Simulate all scenarios and print the figures that differ from those in a file; exits with 1 if any differ.
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

/// Run one scenario against real processes on loopback, in real time; exits with 1 if a rule was broken, with 3 if the
/// load was not sustained.
#[derive(FromArgs)]
#[argh(subcommand, name = "live")]
struct Live {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// random seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// command that starts a balancer, without --config FILE (default: this program)
    #[argh(option)]
    program: Option<String>,
    /// command that starts a coordinator, without --config FILE (default: this program)
    #[argh(option)]
    steward: Option<String>,
    /// folder in which to keep the balancers' configurations and logs; must be empty
    #[argh(option)]
    keep: Option<PathBuf>,
}

/// Run as a real balancer, as `fernroute serve` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "balancer")]
struct ServeBalancer {
    /// configuration file of the balancer
    #[argh(option)]
    config: String,
}

/// Start a balancer with stubs for the upstreams and the discovery service that its file names; runs until Ctrl-C.
#[derive(FromArgs)]
#[argh(subcommand, name = "beside")]
struct Beside {
    /// configuration file of the balancer
    #[argh(option)]
    config: PathBuf,
    /// command that starts a balancer, without --config FILE (default: this program)
    #[argh(option)]
    program: Option<String>,
}

/// Run as a real coordinator, as `fernroute-coordinator serve --first` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward")]
struct ServeCoordinator {
    /// configuration file of the coordinator
    #[argh(option)]
    config: String,
}

/// Print the status of a coordinator, as `fernroute-coordinator status` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward-status")]
struct CoordinatorStatus {
    /// address of a coordinator
    #[argh(positional)]
    at: String,
}

/// Start three coordinators, four balancers, stubs and a load on this machine, and print the ledger's status until Ctrl-C.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct RunFleet {}

/// Measure the cost of a fleet and its recovery time after a loss, with real processes on this machine; takes some minutes.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet-measure")]
struct MeasureFleet {
    /// only measure the leader's decisions in virtual time, by members and budgets
    #[argh(switch)]
    leader: bool,
}

/// Run hollow balancers, real ones and coordinators at the size given in a file, and measure their cost. Exits with 1 if
/// something was lost or a budget was exceeded, with 2 for an invalid file, with 3 if the load was not sustained.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct RunScale {
    /// scale run file
    #[argh(positional)]
    file: PathBuf,
    /// size relative to the file (default: 1)
    #[argh(option, default = "1.0")]
    factor: f64,
    /// write the measurements to this file as one JSON object
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Fit the growth of each figure of scale runs with the number of balancers; needs at least four sizes.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale-fit")]
struct FitScale {
    /// files written by runs with --json
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// extrapolate to this number of balancers, at most four times the largest measured one
    #[argh(option)]
    at: Option<f64>,
}

/// Run as several balancers without load: part of `scale`.
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
struct Hollow {
    /// folder of the balancers' configuration files
    #[argh(option)]
    folder: PathBuf,
}

/// Run stubs for discovery or for upstreams: part of `scale`.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale-stand")]
struct ScaleStand {
    /// configuration file of the stubs
    #[argh(option)]
    config: PathBuf,
}

/// Change the set of coordinators, as `fernroute-coordinator change` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward-change")]
struct ChangeCoordinators {
    /// configuration file of a coordinator
    #[argh(option)]
    config: String,
}

fn own_program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(|e| format!("path of this program: {e}"))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let parsed: Arguments = match commands::parse_arguments(NAME, &arguments) {
        Ok(line) => line,
        Err(code) => return code,
    };
    let done = match parsed.command {
        Command::Check(check) => check.scenarios.iter().try_for_each(|path| {
            let s = Scenario::read(path)?;
            println!("{}: {}, {} tiers, {} faults", path.display(), s.name, s.tier.len(), s.fault.len());
            Ok(())
        }),
        Command::Run(one) => match run_simulation(&one) {
            Ok(true) => Ok(()),
            Ok(false) => return ExitCode::FAILURE,
            Err(why) => Err(why),
        },
        Command::Experiment(compare) => {
            let command = format!("{NAME} {}", arguments[1..].join(" "));
            Experiment::read(&compare.experiment).and_then(|experiment| {
                // Checked before the runs, which take long.
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
        Command::Live(one) => match run_live(&one) {
            Ok(code) => return ExitCode::from(code),
            Err(why) => Err(why),
        },
        Command::Beside(one) => {
            match balancer_command(one.program.as_deref()).and_then(|words| beside::run(&one.config, &words))
            {
                Ok(code) => return ExitCode::from(code),
                Err(why) => Err(why),
            }
        }
        Command::Coordinator(one) => {
            let words = ["fernroute-coordinator", "serve", "--first", "--config", &one.config];
            return fernroute_coordinator::commands::run(&words.map(str::to_owned));
        }
        Command::CoordinatorStatus(ask) => {
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
        Command::Scale(one) => match run_scale(&one) {
            Ok(code) => return ExitCode::from(code),
            Err(why) => Err(why),
        },
        Command::ScaleFit(fit) => scale::fit::read_reports(&fit.files).and_then(|runs| {
            print!("{}", scale::fit::table(&scale::fit::fit_all(&runs)?, fit.at)?);
            Ok(())
        }),
        Command::Hollow(one) => scale::hollow::run(&one.folder),
        Command::ScaleStand(one) => scale::stand_in::run(&one.config),
        Command::CoordinatorChange(change) => {
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

/// Returns whether all rules were kept.
fn run_simulation(options: &RunScenario) -> Result<bool, String> {
    let (scenario, variant) = (Scenario::read(&options.scenario)?, Variant::from_name(&options.variant)?);
    let make = |s: &Scenario, position, desk, now, seed| variant.policy(s, position, desk, now, seed);
    let result = match &options.trace {
        None => run::run(&scenario, variant, options.seed),
        Some(path) => {
            let mut lines: Vec<(u64, String)> = Vec::new();
            let fleet = variant == Variant::Fleet;
            let result = run::run_with_options(&scenario, options.seed, &make, fleet, &mut lines);
            let text: String = lines
                .iter()
                .map(|(at, line)| format!("{}.{:04} {line}\n", at / 10_000, at % 10_000))
                .collect();
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            result
        }
    };
    println!("{} ({}, seed {})", scenario.name, variant.name(), options.seed);
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

/// The command that starts a balancer: the given one, or this program.
fn balancer_command(named: Option<&str>) -> Result<Vec<String>, String> {
    if let Some(words) = named {
        return Ok(words.split_whitespace().map(str::to_owned).collect());
    }
    Ok(vec![own_program()?.display().to_string(), "balancer".to_owned()])
}

/// Returns the exit code.
fn run_live(options: &Live) -> Result<u8, String> {
    let scenario = Scenario::read(&options.scenario)?;
    let program = balancer_command(options.program.as_deref())?;
    let folder = options
        .keep
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("fernroute-testbed-{}", std::process::id())));
    experiment::create_empty_folder(&folder)?;
    let steward = match &options.steward {
        Some(words) => words.split_whitespace().map(str::to_owned).collect(),
        None => vec![own_program()?.display().to_string(), "steward".to_owned()],
    };
    let report = live::run(&scenario, options.seed, &program, &steward, &folder);
    if options.keep.is_none() {
        // A leftover folder does no harm.
        let _ = std::fs::remove_dir_all(&folder);
    }
    let report = report?;
    println!("{} (real processes, seed {})", scenario.name, options.seed);
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

/// Returns the exit code.
fn run_scale(options: &RunScale) -> Result<u8, String> {
    let layout = scale::prepare(&options.file, options.factor)?;
    // Kept short, because the length of socket paths is limited.
    let folder = std::env::temp_dir().join(format!("fernroute-scale-{}", std::process::id()));
    experiment::create_empty_folder(&folder)?;
    let report = scale::run(layout, options.factor, &own_program()?, &folder);
    // A leftover folder does no harm.
    let _ = std::fs::remove_dir_all(&folder);
    let report = match report {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{NAME}: run aborted: {}", error.reason);
            return Ok(error.exit_code);
        }
    };
    report.print();
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(report.exit_code())
}
