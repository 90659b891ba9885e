//! x
use dotterelshore_load::{
    deployment::{DeploymentOptions, DeploymentShape, RunningDeployment},
    driver::{ArrivalPlan, EntryChoice, run_load},
};
#[tokio::main]
async fn main() {
    let shape = if std::env::args().nth(1).as_deref() == Some("karatula") {
        DeploymentShape::karatula()
    } else {
        DeploymentShape::small()
    };
    let d = RunningDeployment::start(shape, DeploymentOptions::default())
        .await
        .unwrap();
    println!("up {}", d.folder.display());
    let r = run_load(&d, &ArrivalPlan::default(), EntryChoice::InTurn).await;
    println!("{r}");
}
