//! The steps of faults and the processes they act on.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use sedgeridge_load::deployment::Deployment;
use sedgeridge_load::fault_name::FaultName;
use sedgeridge_load::fault_name::FaultNames;
use sedgeridge_load::faults::Action;
use sedgeridge_load::faults::steps;
use sedgeridge_load::processes::PIDS_FILE;
use sedgeridge_load::processes::Processes;
use sedgeridge_load::processes::Signal;
use sedgeridge_load::topology::Topology;
use yare::parameterized;

const SENDING: Duration = Duration::from_secs(10);

fn topology(name: &str) -> Topology {
    let deployment: Deployment = name.parse().expect("known deployment");
    Topology::new(&deployment, Path::new("run/test"), 21_000, &[])
}

#[parameterized(small = { "small" }, luce = { "luce" }, malardalen = { "malardalen" })]
fn steps_are_in_order_and_name_processes_of_the_plan(deployment: &str) {
    let topology = topology(deployment);
    for fault in FaultName::ALL {
        let steps = steps(fault, &topology.load, SENDING);
        assert!(steps.is_sorted_by_key(|s| s.at_fraction), "{fault}");
        for step in steps {
            if let Action::Signal(name, _) | Action::Start(name) = step.action {
                assert!(topology.processes.iter().any(|p| p.name == name), "{name}");
            }
        }
    }
}

#[test]
fn every_process_that_is_killed_or_frozen_comes_back() {
    let load = topology("luce").load;
    for fault in FaultName::ALL {
        let steps = steps(fault, &load, SENDING);
        let count =
            |wanted: fn(&Action) -> bool| steps.iter().filter(|s| wanted(&s.action)).count();
        let gone = count(|a| {
            matches!(
                a,
                Action::Signal(_, Signal::Kill | Signal::Stop) | Action::SignalHolder(Signal::Stop)
            )
        });
        let back = count(|a| {
            matches!(
                a,
                Action::Signal(_, Signal::Continue)
                    | Action::Start(_)
                    | Action::SignalHolder(Signal::Continue)
            )
        });
        assert_eq!(gone, back, "{fault}");
    }
}

#[test]
fn an_unknown_name_lists_the_known_ones() {
    let error = "sabotage".parse::<FaultName>().expect_err("no such fault");
    let text = error.to_string();
    for fault in FaultName::ALL {
        assert!(text.contains(fault.as_str()), "{text}");
    }
}

#[test]
fn two_faults_are_named_with_a_plus() {
    let both: FaultNames = "router-kill+table-down".parse().expect("known faults");
    assert_eq!(both.0, [FaultName::RouterKill, FaultName::TableDown]);
    assert!("router-kill+".parse::<FaultNames>().is_err());
}

/// Coordinators run only where a fault is about them: each one reads the lease every second.
#[parameterized(
    about_them = { "poison+lease-freeze", 2 },
    not_about_them = { "poison", 0 },
)]
fn coordinators_run_only_for_their_fault(faults: &str, expected: usize) {
    let mut topology = topology("small");
    let faults = faults.parse().expect("known faults");
    topology.set_faults(faults, Path::new("run/test"));
    let programs = topology.processes.iter().map(|p| p.program);
    let coordinators = programs.filter(|p| *p == "sedgeridge-coordinator");
    assert_eq!(coordinators.count(), expected);
}

fn run_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&dir).expect("the directory of test files can be written");
    dir
}

/// A restarted process has two lines in the pid file; only the newer id may be signalled.
#[test]
fn signals_the_latest_process_of_a_name() {
    let dir = run_dir("signals");
    let mut older = Command::new("sleep")
        .arg("60")
        .spawn()
        .expect("sleep starts");
    let mut newer = Command::new("sleep")
        .arg("60")
        .spawn()
        .expect("sleep starts");
    let pids = format!("router-1 {}\nrouter-1 {}\n", older.id(), newer.id());
    fs::write(dir.join(PIDS_FILE), pids).expect("the pid file can be written");
    let signalled = Processes::new(&dir).signal("router-1", Signal::Kill);
    let ended = newer.wait().expect("the newer process ends");
    let older_runs = older.try_wait().expect("its state can be read").is_none();
    older.kill().expect("the older process can be ended");
    older.wait().expect("the older process ends");
    assert!(signalled.is_ok());
    assert!(!ended.success());
    assert!(older_runs);
}

#[test]
fn a_process_that_is_not_recorded_is_an_error() {
    let dir = run_dir("unrecorded");
    fs::write(dir.join(PIDS_FILE), "router-10 1\n").expect("the pid file can be written");
    assert!(
        Processes::new(&dir)
            .signal("router-1", Signal::Stop)
            .is_err()
    );
}
