//! The operator's command line against a running deployment.

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

/// A running deployment, with the command line connected to one of its entries.
struct OperatorFixture {
    deployment: RunningDeployment,
}

impl OperatorFixture {
    async fn start() -> Self {
        let options = DeploymentOptions {
            reboot_duration: Duration::from_millis(200),
            ..DeploymentOptions::default()
        };
        let deployment = RunningDeployment::start(DeploymentShape::small(), options).await;
        Self {
            deployment: deployment.expect("the deployment starts"),
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
        assert!(!output.status.success(), "{args:?} was accepted");
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// Writes the table in force as a declaration and returns its main file.
    fn declaration(&self) -> PathBuf {
        let folder = self.deployment.folder.join("declaration");
        std::fs::create_dir_all(&folder).expect("a folder");
        self.text(&["show", "--out", &folder.display().to_string()]);
        folder.join("fleet.toml")
    }
}

fn edit(file: &Path, old: &str, new: &str) {
    let text = std::fs::read_to_string(file).expect("the file is readable");
    assert!(text.contains(old), "no '{old}' in {text}");
    std::fs::write(file, text.replace(old, new)).expect("the file is written");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn declaration_is_shown_changed_and_applied() {
    let fixture = OperatorFixture::start().await;
    let file = fixture.declaration();
    let name = file.display().to_string();
    assert!(fixture.text(&["check", &name]).contains("is sound"));
    assert!(fixture.text(&["diff", &name]).contains("nothing differs"));
    edit(
        &file.with_file_name("teams.csv"),
        "alpha,3,24",
        "alpha,5,20",
    );
    assert!(
        fixture
            .text(&["diff", &name])
            .contains("put team alpha weight=5 ceiling=20")
    );
    assert!(
        fixture
            .text(&["apply", &name, "--wait"])
            .contains("revision 2: in force")
    );
    assert!(
        fixture
            .text(&["history"])
            .contains("put team alpha weight=5 ceiling=20")
    );
    edit(
        &file.with_file_name("teams.csv"),
        "alpha,5,20",
        "alpha,0,20",
    );
    let refusal = fixture.refusal(&["apply", &name]);
    assert!(
        refusal.contains("teams.csv:2") && refusal.contains("column 'weight'"),
        "{refusal}"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn operator_controls_keys_instances_and_waves() {
    let fixture = OperatorFixture::start().await;
    let granted = fixture.text(&["--json", "keys", "grant", "beta"]);
    let granted: serde_json::Value = serde_json::from_str(&granted).expect("the output is JSON");
    let digest = granted["digest"].as_str().expect("a digest").to_owned();
    assert!(fixture.text(&["show"]).contains(&digest[..8]));
    assert!(
        fixture
            .text(&["keys", "withdraw", &digest[..12]])
            .contains("works at no live entry")
    );
    assert!(
        fixture
            .refusal(&["keys", "withdraw", &digest])
            .contains("no key in force fits")
    );
    assert!(
        fixture
            .refusal(&["keys", "grant", "nobody"])
            .contains("add its row first")
    );
    assert!(
        fixture
            .text(&["instances", "drain", "proofs-0"])
            .contains("draining")
    );
    let refusal = fixture.refusal(&["instances", "drain", "proofs-1"]);
    assert!(refusal.contains("6007"), "{refusal}");
    assert!(
        fixture
            .text(&["instances", "resume", "proofs-0"])
            .contains("in service")
    );
    assert!(
        fixture
            .refusal(&["instances", "move", "proofs-0", "proofs-batch"])
            .contains("1009")
    );
    assert!(
        fixture
            .text(&["waves", "start", "w", "proofs", "--watch"])
            .contains("Done, 4 of 4")
    );
    assert!(
        fixture
            .refusal(&["waves", "start", "w", "proofs"])
            .contains("6009")
    );
    assert!(
        fixture
            .refusal(&["waves", "pause", "none"])
            .contains("6006")
    );
    let status = fixture.text(&["status"]);
    assert!(
        status.contains("figures of 3 entries") && status.contains("alpha"),
        "{status}"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn wrong_token_and_unreachable_entry_are_reported() {
    let fixture = OperatorFixture::start().await;
    let entry = fixture.deployment.entry_address(0).to_string();
    let program = program_folder().join("dotterelshore");
    let wrong = Command::new(&program)
        .args(["--entry", &entry, "--operator-token", "wrong", "status"])
        .output();
    let wrong = wrong.expect("the command line runs");
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("1011"));
    let unreachable = Command::new(&program)
        .args(["--entry", "127.0.0.1:9", "status"])
        .output()
        .expect("the command line runs");
    assert!(String::from_utf8_lossy(&unreachable.stderr).contains("no entry answered"));
}
