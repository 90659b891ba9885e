//! Tests of the validation of tables, requests and names.

use {
    dotterelshore_domain::{
        codes::ResultCode,
        names::{CentreName, KeyDigest, PoolName, QueueName, TeamName},
        request::{CallerRequest, RawRequest},
        table::{
            CentreRow, FleetTable, KeyRow, PoolRow, QueueRow, RowChange, TargetKind, TeamRow,
            WorkClass,
        },
    },
    dotterelshore_testkit::named_cases,
};

fn pool(name: &str, size: u32, max_out: u32) -> RowChange {
    let name = PoolName::try_from(name).expect("a valid name");
    RowChange::Pool(
        name.clone(),
        Some(PoolRow {
            name,
            kind: TargetKind::Executor,
            size,
            max_out,
        }),
    )
}

fn queue(name: &str, pool: &str, open: bool) -> RowChange {
    let name = QueueName::try_from(name).expect("a valid name");
    let row = QueueRow {
        name: name.clone(),
        pool: PoolName::try_from(pool).expect("a valid name"),
        spill: None,
        class: WorkClass::Urgent,
        open,
        max_waiting: 10,
        max_wait_ms: 1000,
    };
    RowChange::Queue(name, Some(row))
}

fn queue_with_spill(name: &str, pool: &str, spill: &str) -> RowChange {
    match queue(name, pool, false) {
        RowChange::Queue(name, Some(row)) => {
            let spill = Some(PoolName::try_from(spill).expect("a valid name"));
            RowChange::Queue(name, Some(QueueRow { spill, ..row }))
        }
        other => other,
    }
}

fn team(name: &str, weight: u32, ceiling: u32) -> RowChange {
    let name = TeamName::try_from(name).expect("a valid name");
    RowChange::Team(
        name.clone(),
        Some(TeamRow {
            name,
            weight,
            ceiling,
        }),
    )
}

fn key(text: &str, team: &str) -> RowChange {
    let digest = KeyDigest::of(text);
    let row = KeyRow {
        digest: digest.clone(),
        team: TeamName::try_from(team).expect("a valid name"),
    };
    RowChange::Key(digest, Some(row))
}

fn table(rows: Vec<RowChange>) -> FleetTable {
    let mut table = FleetTable::default();
    for row in rows {
        table.apply_row(row);
    }
    table
}

fn valid_rows() -> Vec<RowChange> {
    let centre = CentreName::try_from("east").expect("a valid name");
    vec![
        RowChange::Centre(
            centre.clone(),
            Some(CentreRow {
                name: centre,
                region: "north".to_owned(),
            }),
        ),
        pool("p", 4, 1),
        queue("q", "p", false),
        queue("walk-in", "p", true),
        team("a", 3, 8),
        team("b", 1, 8),
        key("key-a", "a"),
    ]
}

fn fault_columns(extra: Option<RowChange>, expected: &[&str]) {
    let mut rows = valid_rows();
    rows.extend(extra);
    let faults = table(rows).validate();
    let columns: Vec<&str> = faults.iter().map(|fault| fault.column.as_str()).collect();
    assert_eq!(columns, expected, "{faults:?}");
}

named_cases! { fault_columns:
    valid_table_has_no_faults(None, &[]);
    budget_equal_to_pool_size_is_a_fault(Some(pool("p", 4, 4)), &["max_out"]);
    pool_size_of_zero_is_a_fault(Some(pool("p", 0, 0)), &["size"]);
    team_weight_of_zero_is_a_fault(Some(team("a", 0, 8)), &["weight"]);
    team_ceiling_of_zero_is_a_fault(Some(team("a", 3, 0)), &["ceiling"]);
    queue_of_unknown_pool_is_a_fault(Some(queue("q", "nowhere", false)), &["pool"]);
    queue_spilling_to_its_own_pool_is_a_fault(Some(queue_with_spill("q", "p", "p")), &["spill"]);
    queue_spilling_to_unknown_pool_is_a_fault(Some(queue_with_spill("q", "p", "nowhere")), &["spill"]);
    key_of_unknown_team_is_a_fault(Some(key("other", "nobody")), &["team"]);
}

fn check_request(
    queue: &str,
    key: Option<&str>,
    team: Option<&str>,
    kind: TargetKind,
    expected: Result<&str, ResultCode>,
) {
    let raw = RawRequest {
        queue: queue.to_owned(),
        key: key.map(KeyDigest::of),
        team: team.map(str::to_owned),
        ..RawRequest::default()
    };
    let checked = CallerRequest::check(&raw, &table(valid_rows()), kind);
    let got = checked.as_ref().map(|request| request.team.name.as_str());
    assert_eq!(got.map_err(|refusal| refusal.code), expected);
}

named_cases! { check_request:
    request_runs_for_the_team_of_its_key("q", Some("key-a"), None, TargetKind::Executor, Ok("a"));
    request_may_name_the_team_of_its_key("q", Some("key-a"), Some("a"), TargetKind::Executor, Ok("a"));
    request_naming_another_team_is_refused("q", Some("key-a"), Some("b"), TargetKind::Executor, Err(ResultCode::KeyOfOtherTeam));
    request_without_key_is_refused("q", None, None, TargetKind::Executor, Err(ResultCode::KeyMissing));
    request_with_unknown_key_is_refused("q", Some("made-up"), None, TargetKind::Executor, Err(ResultCode::KeyUnknown));
    open_queue_accepts_request_without_key("walk-in", None, None, TargetKind::Executor, Ok("open"));
    request_for_unknown_queue_is_refused("nowhere", Some("key-a"), None, TargetKind::Executor, Err(ResultCode::UnknownQueue));
    invalid_queue_name_is_refused("a b", Some("key-a"), None, TargetKind::Executor, Err(ResultCode::MalformedRequest));
    work_of_the_wrong_pool_kind_is_refused("q", Some("key-a"), None, TargetKind::Worker, Err(ResultCode::WrongPoolKind));
}

fn is_valid_name(text: &str, expected: bool) {
    assert_eq!(TeamName::try_from(text).is_ok(), expected);
}

named_cases! { is_valid_name:
    name_of_letters_digits_and_punctuation_is_valid("north-1_a.b:c", true);
    empty_name_is_invalid("", false);
    name_with_space_is_invalid("a b", false);
    name_with_slash_is_invalid("a/b", false);
    name_with_non_ascii_letter_is_invalid("Ă©quipe", false);
    name_of_129_bytes_is_invalid(&"x".repeat(129), false);
    name_of_128_bytes_is_valid(&"x".repeat(128), true);
}

#[test]
fn result_codes_have_unique_numbers_and_slugs() {
    let mut numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let mut slugs: Vec<&str> = ResultCode::ALL.iter().map(|code| code.slug()).collect();
    let count = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    slugs.sort_unstable();
    slugs.dedup();
    assert_eq!((numbers.len(), slugs.len()), (count, count));
}

#[test]
fn applying_a_diff_yields_the_other_table() {
    let old = table(valid_rows());
    let mut rows = valid_rows();
    rows.truncate(5);
    rows.push(team("a", 9, 9));
    let new = table(rows);
    let mut changed = old.clone();
    for change in old.diff_to(&new) {
        changed.apply_row(change);
    }
    assert_eq!(changed, new);
    assert_eq!(new.diff_to(&new), []);
}
