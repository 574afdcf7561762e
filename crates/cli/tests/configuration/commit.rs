//! Commits of the configuration with lost answers and concurrent operators.

use std::net::SocketAddr;

use sedgeridge_cli::config_commit::CommitError;
use sedgeridge_cli::config_commit::MAX_ATTEMPTS;
use sedgeridge_cli::config_commit::Proposal;
use sedgeridge_cli::config_commit::commit;
use sedgeridge_cli::config_store::AcceptedConfig;
use sedgeridge_cli::config_store::read_accepted;
use sedgeridge_cli::config_store::read_change;
use sedgeridge_protocol::table::TransactRequest;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::config_records::GENERATIONS_PER_SNAPSHOT;
use yare::parameterized;

use crate::fake::FakeContext;
use crate::fake::Fault;

fn table_address() -> SocketAddr {
    "127.0.0.2:7000".parse().unwrap()
}

fn proposal(author: &str, name: &str) -> Proposal {
    Proposal {
        document: ConfigDocument::from_texts(&format!("[fleet]\nname = {name}\n"), &[]),
        author: author.to_owned(),
        summary: format!("name {name}"),
    }
}

fn accepted(context: &FakeContext) -> AcceptedConfig {
    read_accepted(context, table_address()).unwrap()
}

/// Creates a context whose table holds generation 1.
fn context_with_one_generation() -> FakeContext {
    let context = FakeContext::default();
    commit(
        &context,
        table_address(),
        &AcceptedConfig::default(),
        &proposal("first", "one"),
    )
    .unwrap();
    context
}

#[test]
fn changes_are_read_back_as_the_document_that_was_proposed() {
    let context = context_with_one_generation();
    let second = proposal("ana", "two");
    let change = commit(&context, table_address(), &accepted(&context), &second).unwrap();

    assert_eq!(change.generation, 2);
    assert!(matches!(change.content, ConfigContent::Delta(_)));
    let now = accepted(&context);
    assert_eq!(now.document, second.document);
    assert_eq!(now.head.unwrap().change_id, change.change_id);
}

#[test]
fn rows_stay_bounded_and_every_generation_reads_whole() {
    let context = context_with_one_generation();
    for number in 2..=3 * GENERATIONS_PER_SNAPSHOT + 2 {
        let next = proposal("ana", &format!("name-{number}"));
        let change = commit(&context, table_address(), &accepted(&context), &next).unwrap();
        assert_eq!(change.generation, number);
        assert_eq!(accepted(&context).document, next.document);
        assert!(context.row_count() as u64 <= 2 * GENERATIONS_PER_SNAPSHOT + 1);
    }
}

#[test]
fn a_change_costs_two_reads_and_one_transaction() {
    let context = context_with_one_generation();
    for number in 2..=GENERATIONS_PER_SNAPSHOT + 1 {
        let (reads, transactions) = context.calls.get();
        let next = proposal("ana", &format!("name-{number}"));
        commit(&context, table_address(), &accepted(&context), &next).unwrap();

        assert_eq!(context.calls.get(), (reads + 2, transactions + 1));
    }
}

/// The change is accepted but its answer is lost. The transaction is sent again, and the table
/// answers with a conflict with the operator's own change. Reading the generation back shows the
/// operator's change id, so the change is reported as accepted, and it was made once.
#[test]
fn an_answer_lost_after_the_write_is_settled_as_accepted() {
    let context = context_with_one_generation();
    let before = accepted(&context);
    *context.transact_faults.borrow_mut() = [Fault::AnswerLost].into();

    let change = commit(&context, table_address(), &before, &proposal("ana", "two")).unwrap();
    assert_eq!(change.generation, 2);
    assert_eq!(context.committed.borrow().len(), 2);
}

#[test]
fn a_call_lost_before_the_write_is_sent_again() {
    let context = context_with_one_generation();
    let before = accepted(&context);
    *context.transact_faults.borrow_mut() = [Fault::CallLost, Fault::Refused].into();

    commit(&context, table_address(), &before, &proposal("ana", "two")).unwrap();
    assert_eq!(context.committed.borrow().len(), 2);
}

/// Two operators read the same generation and both change it. The second finds the head at another
/// version; it writes nothing, and its error names the accepted change and its author.
#[test]
fn the_loser_of_a_race_learns_which_change_won() {
    let context = context_with_one_generation();
    let before = accepted(&context);
    let winner = commit(&context, table_address(), &before, &proposal("bo", "bo")).unwrap();

    let lost = commit(&context, table_address(), &before, &proposal("ana", "ana")).unwrap_err();
    let expected = CommitError::Conflict {
        generation: 2,
        change_id: winner.change_id,
        author: "bo".to_owned(),
        summary: "name bo".to_owned(),
    };
    assert_eq!(lost, expected);
    assert_eq!(context.committed.borrow().len(), 2);
}

/// The operator's first attempt takes effect, its answer is lost, and another operator commits the
/// next generation. The head names that change by then; only the row of the first operator's
/// generation shows that the first operator's change was accepted too.
#[test]
fn a_lost_answer_is_settled_as_accepted_also_when_a_rival_went_on() {
    let context = context_with_one_generation();
    let before = accepted(&context);
    let scratch = context_with_one_generation();
    commit(
        &scratch,
        table_address(),
        &accepted(&scratch),
        &proposal("ana", "two"),
    )
    .unwrap();
    commit(
        &scratch,
        table_address(),
        &accepted(&scratch),
        &proposal("rival", "three"),
    )
    .unwrap();
    *context.rival.borrow_mut() = scratch.committed.borrow().last().cloned();
    *context.transact_faults.borrow_mut() = [Fault::AnswerLost].into();
    let change = commit(&context, table_address(), &before, &proposal("ana", "two")).unwrap();

    assert_eq!(change.generation, 2);
    assert_eq!(accepted(&context).head.unwrap().generation, 3);
    let found = read_change(&context, table_address(), 2).unwrap().unwrap();
    assert_eq!(found, change);
}

#[test]
fn a_race_lost_after_a_lost_call_names_the_winner() {
    let context = context_with_one_generation();
    let before = accepted(&context);
    let scratch = context_with_one_generation();
    commit(
        &scratch,
        table_address(),
        &accepted(&scratch),
        &proposal("rival", "two"),
    )
    .unwrap();
    let mut rival = scratch.committed.borrow().last().cloned().unwrap();
    for write in &mut rival.writes {
        let value = write.value.as_ref().unwrap().replace("change-2", "rival-1");
        write.value = Some(value);
    }
    *context.rival.borrow_mut() = Some(rival);
    *context.transact_faults.borrow_mut() = [Fault::CallLost].into();

    let lost = commit(&context, table_address(), &before, &proposal("ana", "ana")).unwrap_err();
    let expected = CommitError::Conflict {
        generation: 2,
        change_id: "rival-1".to_owned(),
        author: "rival".to_owned(),
        summary: "name two".to_owned(),
    };
    assert_eq!(lost, expected);
}

#[test]
fn refusals_alone_mean_that_nothing_was_written() {
    let context = context_with_one_generation();
    let before = accepted(&context);
    let faults = std::iter::repeat_n(Fault::Refused, MAX_ATTEMPTS as usize);
    *context.transact_faults.borrow_mut() = faults.collect();

    let error = commit(&context, table_address(), &before, &proposal("ana", "two")).unwrap_err();
    assert!(matches!(error, CommitError::NotWritten(_)));
    assert_eq!(accepted(&context), before);
}

#[parameterized(
    calls_lost = { Fault::CallLost, Fault::None },
    answers_lost_and_reads_down = { Fault::AnswerLost, Fault::Refused },
)]
fn an_outage_that_cannot_be_settled_is_said_as_unknown(sends: Fault, reads: Fault) {
    let context = context_with_one_generation();
    let before = accepted(&context);
    let faults = std::iter::repeat_n(sends, MAX_ATTEMPTS as usize);
    *context.transact_faults.borrow_mut() = faults.collect();
    *context.read_faults.borrow_mut() = [reads].into();

    let error = commit(&context, table_address(), &before, &proposal("ana", "two")).unwrap_err();
    let CommitError::OutcomeUnknown {
        generation,
        change_id,
        ..
    } = error
    else {
        panic!("expected unknown, got {error}");
    };
    assert_eq!((generation, &*change_id), (2, "change-2"));
}

/// Commits from current and outdated reads, with faults drawn from fixed seeds. Every reported
/// outcome must agree with the table: accepted changes are there once, in a chain without gaps;
/// refused ones are not there; unknown ones are there at most once.
#[test]
fn what_operators_are_told_agrees_with_the_table() {
    let kinds = [
        Fault::None,
        Fault::AnswerLost,
        Fault::CallLost,
        Fault::Refused,
    ];
    for seed in 1..=300_u64 {
        let mut random_state = seed;
        let mut next = |bound: u64| {
            random_state = random_state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(seed);
            (random_state >> 33) % bound
        };
        let context = context_with_one_generation();
        let mut base = accepted(&context);
        for step in 0..20 {
            if next(3) > 0 {
                base = accepted(&context);
            }
            let faults = (0..next(8)).map(|_| kinds[next(4) as usize]).collect();
            *context.transact_faults.borrow_mut() = faults;
            let read_faults = (0..next(2)).map(|_| kinds[next(4) as usize]).collect();
            *context.read_faults.borrow_mut() = read_faults;
            let name = format!("s{seed}-{step}");
            let outcome = commit(&context, table_address(), &base, &proposal("ana", &name));
            context.transact_faults.borrow_mut().clear();
            context.read_faults.borrow_mut().clear();
            let times = times_committed(&context, &name);
            match outcome {
                Ok(change) => {
                    assert_eq!(times, 1, "seed {seed} step {step}");
                    let found = read_change(&context, table_address(), change.generation).unwrap();
                    assert_eq!(found.unwrap(), change);
                }
                Err(CommitError::OutcomeUnknown { .. }) => assert!(times <= 1),
                Err(error) => assert_eq!(times, 0, "seed {seed} step {step}: {error}"),
            }
        }
        let committed = context.committed.borrow().len() as u64;
        assert_eq!(accepted(&context).head.unwrap().generation, committed);
    }
}

fn times_committed(context: &FakeContext, name: &str) -> usize {
    let summary = format!("name {name}\"");
    let has_summary = |transact: &&TransactRequest| {
        let values = transact
            .writes
            .iter()
            .filter_map(|write| write.value.as_ref());
        values.into_iter().any(|value| value.contains(&summary))
    };
    context
        .committed
        .borrow()
        .iter()
        .filter(has_summary)
        .count()
}
