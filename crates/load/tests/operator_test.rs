//! The operators' command line against running entries.

use {
    dotterelshore_load::deployment::{
        DeploymentOptions, DeploymentShape, RunningDeployment, program_folder,
    },
    dotterelshore_testkit::rstest,
    std::{
        path::{Path, PathBuf},
        process::{Command, Output},
        time::Duration,
    },
};

/// A deployment and the command line pointed at one of its entries.
struct OperatorDesk {
    deployment: RunningDeployment,
}

impl OperatorDesk {
    async fn start() -> Self {
        let options = DeploymentOptions {
            reboot: Duration::from_millis(200),
            ..DeploymentOptions::default()
        };
        let deployment = RunningDeployment::start(DeploymentShape::small(), options).await;
        Self {
            deployment: deployment.expect("a deployment comes up"),
        }
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(program_folder().join("dotterelshore"))
            .args(["--entry", &self.deployment.entry_address(0).to_string()])
            .args(["--operator-token", self.deployment.operator_token()])
            .args(args)
            .output()
            .expect("the command line runs")
    }

    fn text(&self, args: &[&str]) -> String {
        let output = self.run(args);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {error}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn refusal(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert!(!output.status.success(), "{args:?} was taken");
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// The table in force, written as a declaration.
    fn declaration(&self) -> PathBuf {
        let folder = self.deployment.folder.join("declaration");
        std::fs::create_dir_all(&folder).expect("a folder");
        self.text(&["show", "--out", &folder.display().to_string()]);
        folder.join("fleet.toml")
    }
}

fn edit(file: &Path, old: &str, new: &str) {
    let text = std::fs::read_to_string(file).expect("it is there");
    assert!(text.contains(old), "no '{old}' in {text}");
    std::fs::write(file, text.replace(old, new)).expect("it is written");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_declaration_is_shown_changed_and_applied() {
    let desk = OperatorDesk::start().await;
    let file = desk.declaration();
    let name = file.display().to_string();
    assert!(desk.text(&["check", &name]).contains("is sound"));
    assert!(desk.text(&["diff", &name]).contains("nothing differs"));
    edit(
        &file.with_file_name("teams.csv"),
        "alpha,3,24",
        "alpha,5,20",
    );
    assert!(
        desk.text(&["diff", &name])
            .contains("put team alpha weight=5 ceiling=20")
    );
    assert!(
        desk.text(&["apply", &name, "--wait"])
            .contains("revision 2: in force")
    );
    assert!(
        desk.text(&["history"])
            .contains("put team alpha weight=5 ceiling=20")
    );
    edit(
        &file.with_file_name("teams.csv"),
        "alpha,5,20",
        "alpha,0,20",
    );
    let refusal = desk.refusal(&["apply", &name]);
    assert!(
        refusal.contains("teams.csv:2") && refusal.contains("column 'weight'"),
        "{refusal}"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_instances_and_waves_are_operated() {
    let desk = OperatorDesk::start().await;
    let granted = desk.text(&["--json", "keys", "grant", "beta"]);
    let granted: serde_json::Value = serde_json::from_str(&granted).expect("it is JSON");
    let digest = granted["digest"].as_str().expect("a digest").to_owned();
    assert!(desk.text(&["show"]).contains(&digest[..8]));
    assert!(
        desk.text(&["keys", "withdraw", &digest[..12]])
            .contains("works at no live entry")
    );
    assert!(
        desk.refusal(&["keys", "withdraw", &digest])
            .contains("no key in force fits")
    );
    assert!(
        desk.refusal(&["keys", "grant", "nobody"])
            .contains("add its row first")
    );
    assert!(
        desk.text(&["instances", "drain", "proofs-0"])
            .contains("draining")
    );
    let refusal = desk.refusal(&["instances", "drain", "proofs-1"]);
    assert!(refusal.contains("6007"), "{refusal}");
    assert!(
        desk.text(&["instances", "resume", "proofs-0"])
            .contains("in service")
    );
    assert!(
        desk.refusal(&["instances", "move", "proofs-0", "proofs-batch"])
            .contains("1009")
    );
    assert!(
        desk.text(&["waves", "start", "w", "proofs", "--watch"])
            .contains("Done, 4 of 4")
    );
    assert!(
        desk.refusal(&["waves", "start", "w", "proofs"])
            .contains("6009")
    );
    assert!(desk.refusal(&["waves", "pause", "none"]).contains("6006"));
    let status = desk.text(&["status"]);
    assert!(
        status.contains("figures of 3 entries") && status.contains("alpha"),
        "{status}"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_token_and_an_entry_that_is_not_there_are_named() {
    let desk = OperatorDesk::start().await;
    let entry = desk.deployment.entry_address(0).to_string();
    let program = program_folder().join("dotterelshore");
    let wrong = Command::new(&program)
        .args(["--entry", &entry, "--operator-token", "wrong", "status"])
        .output();
    let wrong = wrong.expect("it runs");
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("1011"));
    let nowhere = Command::new(&program)
        .args(["--entry", "127.0.0.1:9", "status"])
        .output()
        .expect("it runs");
    assert!(String::from_utf8_lossy(&nowhere.stderr).contains("no entry answered"));
}
