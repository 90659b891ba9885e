//! Checks of rows, of names, and of requests against the table.

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
    let name = PoolName::try_from(name).expect("a name");
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
    let name = QueueName::try_from(name).expect("a name");
    let row = QueueRow {
        name: name.clone(),
        pool: PoolName::try_from(pool).expect("a name"),
        spill: None,
        class: WorkClass::Urgent,
        open,
        max_waiting: 10,
        max_wait_ms: 1000,
    };
    RowChange::Queue(name, Some(row))
}

fn spilling(name: &str, pool: &str, spill: &str) -> RowChange {
    match queue(name, pool, false) {
        RowChange::Queue(name, Some(row)) => {
            let spill = Some(PoolName::try_from(spill).expect("a name"));
            RowChange::Queue(name, Some(QueueRow { spill, ..row }))
        }
        other => other,
    }
}

fn team(name: &str, weight: u32, ceiling: u32) -> RowChange {
    let name = TeamName::try_from(name).expect("a name");
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
        team: TeamName::try_from(team).expect("a name"),
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

fn sound_rows() -> Vec<RowChange> {
    let centre = CentreName::try_from("east").expect("a name");
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

fn faults_at(extra: Option<RowChange>, expected: &[&str]) {
    let mut rows = sound_rows();
    rows.extend(extra);
    let faults = table(rows).validate();
    let columns: Vec<&str> = faults.iter().map(|fault| fault.column.as_str()).collect();
    assert_eq!(columns, expected, "{faults:?}");
}

named_cases! { faults_at:
    a_sound_table_has_none(None, &[]);
    a_budget_as_large_as_the_pool(Some(pool("p", 4, 4)), &["max_out"]);
    a_pool_of_nought(Some(pool("p", 0, 0)), &["size"]);
    a_share_of_nought(Some(team("a", 0, 8)), &["weight"]);
    a_ceiling_of_nought(Some(team("a", 3, 0)), &["ceiling"]);
    a_queue_of_no_pool(Some(queue("q", "nowhere", false)), &["pool"]);
    a_queue_that_spills_to_its_own_pool(Some(spilling("q", "p", "p")), &["spill"]);
    a_queue_that_spills_nowhere(Some(spilling("q", "p", "nowhere")), &["spill"]);
    a_key_of_no_team(Some(key("other", "nobody")), &["team"]);
}

fn checks(
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
    let checked = CallerRequest::check(&raw, &table(sound_rows()), kind);
    let got = checked.as_ref().map(|request| request.team.name.as_str());
    assert_eq!(got.map_err(|refusal| refusal.code), expected);
}

named_cases! { checks:
    a_key_runs_for_its_team("q", Some("key-a"), None, TargetKind::Executor, Ok("a"));
    the_team_may_be_named("q", Some("key-a"), Some("a"), TargetKind::Executor, Ok("a"));
    another_team_may_not("q", Some("key-a"), Some("b"), TargetKind::Executor, Err(ResultCode::KeyOfOtherTeam));
    a_key_is_needed("q", None, None, TargetKind::Executor, Err(ResultCode::KeyMissing));
    an_unknown_key("q", Some("made-up"), None, TargetKind::Executor, Err(ResultCode::KeyUnknown));
    an_open_queue_needs_none("walk-in", None, None, TargetKind::Executor, Ok("open"));
    an_unknown_queue("nowhere", Some("key-a"), None, TargetKind::Executor, Err(ResultCode::UnknownQueue));
    a_queue_name_that_is_none("a b", Some("key-a"), None, TargetKind::Executor, Err(ResultCode::MalformedRequest));
    work_of_the_other_kind("q", Some("key-a"), None, TargetKind::Worker, Err(ResultCode::WrongPoolKind));
}

fn is_name(text: &str, expected: bool) {
    assert_eq!(TeamName::try_from(text).is_ok(), expected);
}

named_cases! { is_name:
    letters_digits_and_marks("north-1_a.b:c", true);
    nothing("", false);
    a_space("a b", false);
    a_slash("a/b", false);
    letters_of_other_scripts("Ă©quipe", false);
    too_long(&"x".repeat(129), false);
    as_long_as_may_be(&"x".repeat(128), true);
}

#[test]
fn result_codes_have_numbers_and_slugs_of_their_own() {
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
fn the_changes_between_two_tables_lead_from_one_to_the_other() {
    let old = table(sound_rows());
    let mut rows = sound_rows();
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
