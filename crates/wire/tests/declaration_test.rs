//! Tests of declarations: round trips, and the file, line and column of each fault.

use {
    dotterelshore_testkit::named_cases,
    dotterelshore_wire::declaration::{read_declaration, write_declaration},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const HEAD: &str = "teams_sheet = \"teams.csv\"\npools_sheet = \"pools.csv\"\n";
const QUEUE: &str = "[[queue]]\nname = \"q\"\npool = \"p\"\nclass = \"urgent\"\nmax_waiting = 5\npatience_ms = 100\n";
const TEAMS: &str = "name,weight,ceiling\na,3,8\n";
const POOLS: &str = "name,kind,size,max_out\np,executor,4,1\n";

/// A temporary folder for one test case, removed on drop.
struct CaseFolder(PathBuf);

impl CaseFolder {
    fn new(queues: &str, teams: &str, pools: &str) -> Self {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!(
            "dotterelshore-declaration-{}-{number}",
            std::process::id()
        ));
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("fleet.toml"), format!("{HEAD}{queues}")).expect("a written file");
        fs::write(folder.join("teams.csv"), teams).expect("a written file");
        fs::write(folder.join("pools.csv"), pools).expect("a written file");
        Self(folder)
    }

    fn file(&self) -> PathBuf {
        self.0.join("fleet.toml")
    }
}

impl Drop for CaseFolder {
    fn drop(&mut self) {
        let _best_effort = fs::remove_dir_all(&self.0);
    }
}

fn check_faults(queues: &str, teams: &str, pools: &str, expected: &[(&str, u64, &str)]) {
    let folder = CaseFolder::new(queues, teams, pools);
    let faults = read_declaration(&folder.file()).err().unwrap_or_default();
    let found: Vec<(String, u64, String)> = faults
        .iter()
        .map(|fault| {
            let name = fault
                .location
                .file
                .file_name()
                .map(|name| name.to_string_lossy().into_owned());
            (
                name.unwrap_or_default(),
                fault.location.line,
                fault.location.column.clone(),
            )
        })
        .collect();
    let expected: Vec<(String, u64, String)> = expected
        .iter()
        .map(|(file, line, column)| ((*file).to_owned(), *line, (*column).to_owned()))
        .collect();
    assert_eq!(found, expected, "{faults:?}");
}

named_cases! { check_faults:
    valid_declaration_has_no_faults(QUEUE, TEAMS, POOLS, &[]);
    duplicate_team_is_reported(QUEUE, "name,weight,ceiling\na,3,8\na,1,8\n", POOLS, &[("teams.csv", 3, "name")]);
    non_numeric_weight_is_reported(QUEUE, "name,weight,ceiling\na,many,8\n", POOLS, &[("teams.csv", 2, "weight")]);
    negative_ceiling_is_reported(QUEUE, "name,weight,ceiling\na,3,-8\n", POOLS, &[("teams.csv", 2, "ceiling")]);
    weight_of_zero_is_reported(QUEUE, "name,weight,ceiling\na,0,8\n", POOLS, &[("teams.csv", 2, "weight")]);
    missing_cell_is_reported(QUEUE, "name,weight,ceiling\na,3\n", POOLS, &[("teams.csv", 2, "")]);
    line_numbers_include_comments(QUEUE, "# teams\nname,weight,ceiling\n# one\na,0,8\n", POOLS, &[("teams.csv", 4, "weight")]);
    budget_above_pool_size_is_reported(QUEUE, TEAMS, "name,kind,size,max_out\np,executor,4,5\n", &[("pools.csv", 2, "max_out")]);
    unknown_target_kind_is_reported(QUEUE, TEAMS, "name,kind,size,max_out\np,robot,4,1\n", &[("pools.csv", 2, "kind"), ("fleet.toml", 4, "pool")]);
    queue_of_unknown_pool_is_reported(&QUEUE.replace("\"p\"", "\"x\""), TEAMS, POOLS, &[("fleet.toml", 4, "pool")]);
    duplicate_queue_is_reported(&QUEUE.repeat(2), TEAMS, POOLS, &[("fleet.toml", 10, "name")]);
    key_of_unknown_team_is_reported("[[key]]\ndigest = \"abc\"\nteam = \"z\"\n", TEAMS, POOLS, &[("fleet.toml", 4, "team")]);
    invalid_toml_is_reported("nonsense\n", TEAMS, POOLS, &[("fleet.toml", 3, "")]);
    invalid_team_name_is_reported(QUEUE, "name,weight,ceiling\na b,3,8\n", POOLS, &[("teams.csv", 2, "name")]);
    all_faults_of_a_row_are_reported(QUEUE, "name,weight,ceiling\na,0,0\n", POOLS, &[("teams.csv", 2, "ceiling"), ("teams.csv", 2, "weight")]);
}

#[test]
fn missing_sheet_is_reported() {
    let folder = CaseFolder::new(QUEUE, TEAMS, POOLS);
    fs::remove_file(folder.0.join("teams.csv")).expect("the sheet is removed");
    let faults = read_declaration(&folder.file()).expect_err("a sheet is missing");
    assert!(faults[0].to_string().contains("teams.csv"), "{faults:?}");
}

#[test]
fn declaration_round_trips() {
    let folder = CaseFolder::new(QUEUE, TEAMS, POOLS);
    let table = read_declaration(&folder.file()).expect("a valid declaration");
    let copy = CaseFolder::new("", "", "");
    write_declaration(&copy.0, &table).expect("a written declaration");
    assert_eq!(
        read_declaration(&copy.file()).expect("a valid declaration"),
        table
    );
}

#[test]
fn shipped_example_is_valid() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fleet.toml");
    let table = read_declaration(&example).expect("a valid declaration");
    assert_eq!(
        (table.teams.len(), table.pools.len(), table.queues.len()),
        (3, 2, 3)
    );
}
