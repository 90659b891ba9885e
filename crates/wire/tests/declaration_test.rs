//! Declarations: read back as written, and each fault named by file, line and column.

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

/// A folder of its own for each case, removed at the end.
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
        fs::write(folder.join("fleet.toml"), format!("{HEAD}{queues}")).expect("it is written");
        fs::write(folder.join("teams.csv"), teams).expect("it is written");
        fs::write(folder.join("pools.csv"), pools).expect("it is written");
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

fn faults(queues: &str, teams: &str, pools: &str, expected: &[(&str, u64, &str)]) {
    let folder = CaseFolder::new(queues, teams, pools);
    let faults = read_declaration(&folder.file()).err().unwrap_or_default();
    let found: Vec<(String, u64, String)> = faults
        .iter()
        .map(|fault| {
            let name = fault
                .place
                .file
                .file_name()
                .map(|name| name.to_string_lossy().into_owned());
            (
                name.unwrap_or_default(),
                fault.place.line,
                fault.place.column.clone(),
            )
        })
        .collect();
    let expected: Vec<(String, u64, String)> = expected
        .iter()
        .map(|(file, line, column)| ((*file).to_owned(), *line, (*column).to_owned()))
        .collect();
    assert_eq!(found, expected, "{faults:?}");
}

named_cases! { faults:
    a_sound_declaration_has_none(QUEUE, TEAMS, POOLS, &[]);
    a_team_twice(QUEUE, "name,weight,ceiling\na,3,8\na,1,8\n", POOLS, &[("teams.csv", 3, "name")]);
    a_word_for_a_number(QUEUE, "name,weight,ceiling\na,many,8\n", POOLS, &[("teams.csv", 2, "weight")]);
    a_negative_ceiling(QUEUE, "name,weight,ceiling\na,3,-8\n", POOLS, &[("teams.csv", 2, "ceiling")]);
    a_share_of_nought(QUEUE, "name,weight,ceiling\na,0,8\n", POOLS, &[("teams.csv", 2, "weight")]);
    a_cell_too_few(QUEUE, "name,weight,ceiling\na,3\n", POOLS, &[("teams.csv", 2, "")]);
    a_comment_counts_as_a_line(QUEUE, "# teams\nname,weight,ceiling\n# one\na,0,8\n", POOLS, &[("teams.csv", 4, "weight")]);
    a_budget_above_the_size(QUEUE, TEAMS, "name,kind,size,max_out\np,executor,4,5\n", &[("pools.csv", 2, "max_out")]);
    an_unknown_kind(QUEUE, TEAMS, "name,kind,size,max_out\np,robot,4,1\n", &[("pools.csv", 2, "kind"), ("fleet.toml", 4, "pool")]);
    a_queue_of_no_pool(&QUEUE.replace("\"p\"", "\"x\""), TEAMS, POOLS, &[("fleet.toml", 4, "pool")]);
    a_queue_twice(&QUEUE.repeat(2), TEAMS, POOLS, &[("fleet.toml", 10, "name")]);
    a_key_of_no_team("[[key]]\ndigest = \"abc\"\nteam = \"z\"\n", TEAMS, POOLS, &[("fleet.toml", 4, "team")]);
    a_line_that_is_no_toml("nonsense\n", TEAMS, POOLS, &[("fleet.toml", 3, "")]);
    a_name_that_is_none(QUEUE, "name,weight,ceiling\na b,3,8\n", POOLS, &[("teams.csv", 2, "name")]);
    two_faults_at_once(QUEUE, "name,weight,ceiling\na,0,0\n", POOLS, &[("teams.csv", 2, "ceiling"), ("teams.csv", 2, "weight")]);
}

#[test]
fn a_missing_sheet_is_named() {
    let folder = CaseFolder::new(QUEUE, TEAMS, POOLS);
    fs::remove_file(folder.0.join("teams.csv")).expect("it is removed");
    let faults = read_declaration(&folder.file()).expect_err("a sheet is missing");
    assert!(faults[0].to_string().contains("teams.csv"), "{faults:?}");
}

#[test]
fn a_declaration_comes_back_as_it_was_written() {
    let folder = CaseFolder::new(QUEUE, TEAMS, POOLS);
    let table = read_declaration(&folder.file()).expect("it is sound");
    let copy = CaseFolder::new("", "", "");
    write_declaration(&copy.0, &table).expect("it is written");
    assert_eq!(read_declaration(&copy.file()).expect("it is sound"), table);
}

#[test]
fn the_shipped_example_is_sound() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fleet.toml");
    let table = read_declaration(&example).expect("it is sound");
    assert_eq!(
        (table.teams.len(), table.pools.len(), table.queues.len()),
        (3, 2, 3)
    );
}
