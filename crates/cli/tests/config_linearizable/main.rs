//! Records runs of operators that change the configuration concurrently, and checks the histories
//! for linearizability.
//!
//! The register is the list of accepted changes. The tests run the real commit on a simulated
//! table, which loses answers after the write took effect, loses calls, delays them and refuses
//! them.

mod table;
mod turns;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use sedgeridge_cli::config_commit::CommitError;
use sedgeridge_cli::config_commit::Proposal;
use sedgeridge_cli::config_commit::commit;
use sedgeridge_cli::config_store::read_accepted;
use sedgeridge_cli::config_store::read_change;
use sedgeridge_state::config_document::ConfigDocument;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

use crate::table::Operator;
use crate::table::Table;
use crate::turns::Turns;

const RUNS: u64 = 200;
const OPERATORS: usize = 4;
const CHANGES_EACH: usize = 3;
/// The last operator only reads.
const READER: usize = OPERATORS - 1;
const READS: usize = 6;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Operation {
    /// The change was accepted as this generation.
    Accepted {
        generation: usize,
        change_id: String,
    },
    /// Another change was accepted as this generation.
    Conflict { generation: usize, winner: String },
    /// The head was read; `None` if no change was accepted.
    Read(Option<(usize, String)>),
    /// Nothing was written or read.
    Nothing,
    /// The outcome is unknown; it is determined after the run.
    InDoubt {
        generation: usize,
        change_id: String,
    },
}

struct AcceptedChanges;

impl Specification for AcceptedChanges {
    type State = Vec<String>;
    type Operation = Operation;

    fn init() -> Vec<String> {
        Vec::new()
    }

    fn apply(operation: &Operation, state: &Vec<String>) -> (bool, Vec<String>) {
        let is_valid = match operation {
            Operation::Accepted {
                generation,
                change_id,
            } => {
                if state.len() + 1 != *generation {
                    return (false, state.clone());
                }
                let mut next = state.clone();
                next.push(change_id.clone());
                return (true, next);
            }
            Operation::Conflict { generation, winner } => state.get(generation - 1) == Some(winner),
            Operation::Read(None) => state.is_empty(),
            Operation::Read(Some((generation, change_id))) => {
                state.len() == *generation && state.last() == Some(change_id)
            }
            Operation::Nothing => true,
            Operation::InDoubt { .. } => false,
        };
        (is_valid, state.clone())
    }
}

type Log = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

fn table_address() -> SocketAddr {
    "127.0.0.2:7000".parse().expect("an address")
}

fn record(log: &Log, process: usize, action: Action<Operation>) {
    log.lock()
        .expect("no thread panics")
        .push((process, action));
}

fn propose(operator: &Operator) -> Operation {
    let address = table_address();
    let Ok(accepted) = read_accepted(operator, address) else {
        return Operation::Nothing;
    };
    let generation = accepted.head.as_ref().map_or(0, |h| h.generation) as usize + 1;
    let change_id = operator.change_id.clone();
    let base = format!("[fleet]\nname = {change_id}\n");
    let proposal = Proposal {
        document: ConfigDocument::from_texts(&base, &[]),
        author: format!("operator-{}", operator.number),
        summary: String::new(),
    };
    match commit(operator, address, &accepted, &proposal) {
        Ok(_) => Operation::Accepted {
            generation,
            change_id,
        },
        Err(CommitError::Conflict { change_id, .. }) => Operation::Conflict {
            generation,
            winner: change_id,
        },
        Err(CommitError::OutcomeUnknown { .. }) => Operation::InDoubt {
            generation,
            change_id,
        },
        Err(CommitError::UnnamedConflict { .. } | CommitError::NotWritten(_)) => Operation::Nothing,
    }
}

fn read(operator: &Operator) -> Operation {
    match read_accepted(operator, table_address()) {
        Ok(accepted) => {
            let head = accepted.head.map(|h| (h.generation as usize, h.change_id));
            Operation::Read(head)
        }
        Err(_) => Operation::Nothing,
    }
}

/// Performs the operations of one operator in a run.
fn operate(operator: &mut Operator, log: &Log) {
    operator.turns.wait_for(operator.number);
    let steps = if operator.number == READER {
        READS
    } else {
        CHANGES_EACH
    };
    for step in 0..steps {
        operator.change_id = format!("change-{}-{step}", operator.number);
        // Every operation gets a process id of its own, as one in doubt lasts until the end of the
        // run.
        let process = operator.number * READS + step;
        record(log, process, Action::Call(Operation::Nothing));
        let operation = match operator.number {
            READER => read(operator),
            _ => propose(operator),
        };
        record(log, process, Action::Response(operation));
    }
    operator.turns.finish();
}

/// Runs all operators and returns the history and the changes accepted by its end.
fn run(seed: u64) -> (Vec<(usize, Action<Operation>)>, Vec<String>) {
    let table = Arc::new(Mutex::new(Table::new(seed)));
    let turns = Arc::new(Turns::new(OPERATORS, seed));
    let log = Log::default();
    let operator = |number| Operator {
        number,
        table: Arc::clone(&table),
        turns: Arc::clone(&turns),
        change_id: String::new(),
    };
    let operators: Vec<_> = (0..OPERATORS).map(operator).collect();
    thread::scope(|scope| {
        for mut operator in operators {
            let log = &log;
            scope.spawn(move || operate(&mut operator, log));
        }
    });
    table.lock().expect("no thread panics").stop_faults();
    let final_reader = Operator {
        number: 0,
        table,
        turns: Arc::new(Turns::new(1, seed)),
        change_id: String::new(),
    };
    let history = log.lock().expect("no thread panics").clone();
    (history, accepted_changes(&final_reader))
}

fn accepted_changes(operator: &Operator) -> Vec<String> {
    let read = |generation| read_change(operator, table_address(), generation);
    let changes = (1..).map_while(|generation| read(generation).expect("a table that works"));
    changes.map(|change| change.change_id).collect()
}

/// Moves the responses of changes in doubt to the end of the history, with their actual outcomes.
fn resolve_in_doubt(
    history: Vec<(usize, Action<Operation>)>,
    accepted: &[String],
) -> History<Operation> {
    let mut settled = Vec::new();
    let mut delayed = Vec::new();
    for (process, action) in history {
        let Action::Response(Operation::InDoubt {
            generation,
            change_id,
        }) = action
        else {
            settled.push((process, action));
            continue;
        };
        let is_accepted = accepted.get(generation - 1) == Some(&change_id);
        let outcome = if is_accepted {
            Operation::Accepted {
                generation,
                change_id,
            }
        } else {
            Operation::Nothing
        };
        delayed.push((process, Action::Response(outcome)));
    }
    settled.extend(delayed);
    History::from_actions(settled)
}

// Three operators commit changes concurrently while a fourth reads, and the table loses answers of
// writes that took effect. All results must fit one order of accepted changes: no change is
// reported as accepted that is not, no conflict names a change that was not accepted, and reads
// never go back.
#[test]
fn commits_of_racing_operators_are_linearizable() {
    let (mut accepted_count, mut beaten, mut in_doubt) = (0, 0, 0);
    for seed in 0..RUNS {
        let (history, accepted) = run(seed);
        for (_, action) in &history {
            if let Action::Response(operation) = action {
                beaten += usize::from(matches!(operation, Operation::Conflict { .. }));
                in_doubt += usize::from(matches!(operation, Operation::InDoubt { .. }));
            }
        }
        accepted_count += accepted.len();
        let shown = format!("seed {seed}: {history:#?}");
        assert!(
            WGLChecker::<AcceptedChanges>::is_linearizable(resolve_in_doubt(history, &accepted)),
            "{shown}"
        );
    }
    println!("{RUNS} runs: {accepted_count} accepted, {beaten} beaten, {in_doubt} in doubt");
    assert!(
        accepted_count > 100 && beaten > 100,
        "the runs show too little"
    );
}
