//! Commands for API keys: grant and withdraw.

use {
    super::{CommandContext, declaration_commands::await_revision},
    crate::cli::{CtlFault, KeyCommand},
    dotterelshore_domain::{
        names::{KeyDigest, TeamName},
        table::{KeyRow, RowChange},
    },
    serde::Serialize,
    std::time::Duration,
};

/// How long granting waits until the key is accepted by every live entry.
const GRANT_WAIT: Duration = Duration::from_secs(12);

#[derive(Serialize)]
struct GrantedKey {
    team: TeamName,
    key: String,
    digest: KeyDigest,
    revision: u64,
}

/// Grants and withdraws keys.
pub(crate) async fn keys(context: &CommandContext, command: KeyCommand) -> Result<(), CtlFault> {
    match command {
        KeyCommand::Grant { team } => grant(context, &team).await,
        KeyCommand::Withdraw { key, wait_s } => {
            withdraw(context, &key, Duration::from_secs(wait_s)).await
        }
    }
}

async fn grant(context: &CommandContext, team: &str) -> Result<(), CtlFault> {
    let team = TeamName::try_from(team)?;
    if !context.client.table().await?.teams.contains_key(&team) {
        let detail = format!("no team '{team}' in the table; add its row first");
        return Err(CtlFault::Missing { detail });
    }
    let key = format!(
        "{:032x}{:032x}",
        rand::random::<u128>(),
        rand::random::<u128>()
    );
    let digest = KeyDigest::of(&key);
    let row = KeyRow {
        digest: digest.clone(),
        team: team.clone(),
    };
    let change = RowChange::Key(digest.clone(), Some(row));
    let recorded_revision = context
        .client
        .change_rows(&context.author, |_| Ok(vec![change.clone()]));
    let revision = recorded_revision.await?.unwrap_or_default();
    let granted = GrantedKey {
        team,
        key,
        digest,
        revision,
    };
    context.printer.print(&granted, || {
        vec![
            format!(
                "key for team {} (shown only now): {}",
                granted.team, granted.key
            ),
            format!("digest {}", granted.digest),
        ]
    });
    await_revision(context, revision, GRANT_WAIT).await
}

async fn withdraw(context: &CommandContext, key: &str, wait: Duration) -> Result<(), CtlFault> {
    let table = context.client.table().await?;
    let full_digest = KeyDigest::of(key);
    let matching: Vec<&KeyDigest> = table
        .keys
        .keys()
        .filter(|digest| **digest == full_digest || digest.as_str().starts_with(key))
        .collect();
    let digest = match matching[..] {
        [digest] => digest.clone(),
        [] => {
            let detail = "no key in force fits; 'show' lists the digests".to_owned();
            return Err(CtlFault::Missing { detail });
        }
        _ => {
            let detail = format!(
                "{} keys match this prefix; give more characters",
                matching.len()
            );
            return Err(CtlFault::Missing { detail });
        }
    };
    let change = RowChange::Key(digest.clone(), None);
    let recorded_revision = context.client.change_rows(&context.author, |table| {
        let exists = table.keys.contains_key(&digest);
        Ok(if exists {
            vec![change.clone()]
        } else {
            Vec::new()
        })
    });
    let revision = recorded_revision.await?.unwrap_or(table.revision);
    context.printer.progress(&format!(
        "the withdrawal is recorded as revision {revision}"
    ));
    await_revision(context, revision, wait).await?;
    context.printer.print(&revision, || {
        vec![format!("key {digest} works at no live entry any more")]
    });
    Ok(())
}
