//! The soak program: runs seeds one after another, or several at the same time.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use getopts::Options;
use pulley_soak::{FaultMix, SoakReport, SoakRun, SoakSettings};

const USAGE: &str = "usage: pulley_soak [options]

Runs real daemons with faults from outside, and checks what callers and upstreams see. Prints a line a
seed, and what was found; exits with 1 if anything was.";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("{fault:#}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "seeds",
        "seeds to run, the last included; without it one fresh seed",
        "A..B",
    );
    options.optopt("", "seconds", "how long a run lasts (20)", "N");
    options.optopt("", "replicas", "daemons that hold the log (3)", "N");
    options.optopt("", "entries", "daemons that are entries only (2)", "N");
    options.optopt("", "upstreams", "stand-in upstreams (4)", "N");
    options.optopt("", "callers", "callers (24)", "N");
    options.optopt("", "beside", "runs beside one another (1)", "N");
    options.optopt("", "daemon", "the daemon's program; without it the one beside this", "FILE");
    options.optopt("", "keep", "where the logs of runs that found something go", "FOLDER");
    options.optflag("", "cuts", "only cuts hosts off from all upstreams, without other faults");
    options.optflag("", "pairs", "only replicas fail, two at a time");
    options.optflag("", "ends", "requests end their upstreams while single hosts fail");
    options.optflag("", "shutdowns", "hosts shut down and reload while some work takes long");
    options.optflag("h", "help", "prints this");
    options
}

fn run() -> Result<bool> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(true);
    }
    let number = |name: &str, default: usize| -> Result<usize> {
        let invalid = || format!("--{name}: a whole number is wanted");
        matches.opt_get_default(name, default).wrap_err_with(invalid)
    };
    let program = match matches.opt_str("daemon") {
        Some(path) => PathBuf::from(path),
        None => std::env::current_exe()?.with_file_name("pulleyd"),
    };
    if !program.exists() {
        bail!("{} is missing: build the package pulleyd in the same profile", program.display());
    }
    let mixes = [
        ("cuts", FaultMix::Cuts),
        ("pairs", FaultMix::Pairs),
        ("ends", FaultMix::Ends),
        ("shutdowns", FaultMix::Shutdowns),
    ];
    let mut given = mixes.into_iter().filter(|(name, _)| matches.opt_present(name));
    let mix = given.next().map_or(FaultMix::All, |(_, mix)| mix);
    if given.next().is_some() {
        bail!("--cuts, --pairs, --ends and --shutdowns: only one of them may be given");
    }
    let settings = SoakSettings {
        seed: 0,
        span: Duration::from_secs(number("seconds", 20)? as u64),
        replicas: number("replicas", 3)?,
        entries: number("entries", 2)?,
        upstreams: number("upstreams", 4)?.max(1),
        callers: number("callers", 24)?,
        mix,
        program,
    };
    let seeds = read_seeds(matches.opt_str("seeds").as_deref())?;
    let keep = matches.opt_str("keep").map(PathBuf::from);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run_seeds(settings, seeds, number("beside", 1)?.max(1), keep))
}

fn read_seeds(text: Option<&str>) -> Result<Vec<u64>> {
    let Some(text) = text else { return Ok(vec![rand::random::<u32>().into()]) };
    let invalid = || eyre!("--seeds {text}: wanted A..B or one number");
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let (first, last) =
        (first.parse::<u64>().map_err(|_| invalid())?, last.parse::<u64>().map_err(|_| invalid())?);
    Ok((first..=last).collect())
}

async fn run_seeds(
    settings: SoakSettings,
    seeds: Vec<u64>,
    concurrent: usize,
    keep: Option<PathBuf>,
) -> Result<bool> {
    let mut all_passed = true;
    for group in seeds.chunks(concurrent) {
        let runs = group.iter().map(|seed| {
            let settings = SoakSettings { seed: *seed, ..settings.clone() };
            (*seed, tokio::spawn(SoakRun::execute(settings)))
        });
        for (seed, run) in runs.collect::<Vec<_>>() {
            let report = run.await??;
            all_passed &= report.findings.is_empty();
            print_report(seed, report, keep.as_ref())?;
        }
    }
    Ok(all_passed)
}

fn print_report(seed: u64, report: SoakReport, keep: Option<&PathBuf>) -> Result<()> {
    println!(
        "seed={seed} faults={} stalls={} requests={} succeeded={} versions={} findings={}",
        report.faults,
        report.stalls,
        report.counts.0,
        report.counts.1,
        report.versions,
        report.findings.len()
    );
    for finding in &report.findings {
        println!("seed={seed} {finding}");
    }
    if let Some(keep) = keep.filter(|_| !report.findings.is_empty()) {
        std::fs::create_dir_all(keep)?;
        let kept = keep.join(format!("seed-{seed}"));
        std::fs::rename(report.folder.keep(), &kept)
            .wrap_err("the logs can only be moved within one file system")?;
        println!("seed={seed} logs={}", kept.display());
    }
    Ok(())
}
