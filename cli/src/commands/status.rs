//! `stackcourse status`: shows the configuration version in force on each node, and which nodes are behind.
//! Fails if an entry does not respond or a node is behind.

use std::collections::BTreeMap;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;
use stackcourse_daemon::operator;
use stackcourse_daemon::status::EntryStatus;
use stackcourse_daemon::status::fetch_status;
use stackcourse_daemon::store::Store;
use stackcourse_lib::ownership::OwnershipRecord;
use stackcourse_lib::ownership::RECORD_KEY;

use super::block_on;
use super::json_arg;
use super::open_store;
use super::store_arg;
use crate::failure::EXIT_BEHIND;
use crate::failure::EXIT_UNREACHABLE;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows the configuration version in force on each node")
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .action(ArgAction::Append)
                .help("An entry's HTTP address, may be repeated; default: all entries that the store lists"),
        )
        .arg(store_arg())
        .arg(json_arg())
}

#[derive(Serialize)]
struct Report {
    newest: u64,
    entries: Vec<EntryStatus>,
    unreachable: Vec<String>,
    behind: Vec<String>,
}

/// Prints the status of the nodes.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let report = block_on(collect(matches))?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print_report(&report);
    }
    if !report.unreachable.is_empty() {
        let list = report.unreachable.join(", ");
        let message = format!("no response from {list}");
        return Err(Failure::new(
            message,
            "the entry may have stopped",
            EXIT_UNREACHABLE,
        ));
    }
    if !report.behind.is_empty() {
        let list = report.behind.join(", ");
        let message = format!("behind version {}: {list}", report.newest);
        return Err(Failure::new(
            message,
            "run the command again in 5 s",
            EXIT_BEHIND,
        ));
    }
    Ok(())
}

async fn collect(matches: &ArgMatches) -> Result<Report, Failure> {
    let store = open_store(matches);
    let unreachable = |e| {
        let hint = "give an entry with --entry, or the store with --store";
        Failure::from_error(&e, hint, EXIT_UNREACHABLE)
    };
    let given: Option<Vec<String>> = matches
        .get_many::<String>("entry")
        .map(|list| list.cloned().collect());
    let (newest, addresses) = match given {
        Some(list) => (
            operator::newest_version(&store).await.map_or(0, |n| n.0),
            list,
        ),
        None => {
            let newest = operator::newest_version(&store)
                .await
                .map_err(unreachable)?
                .0;
            let record = store.get(RECORD_KEY).await.map_err(unreachable)?;
            let record = record.and_then(|r| OwnershipRecord::parse(&r.value).ok());
            let members = record.map(|r| r.members).unwrap_or_default();
            (newest, members.into_iter().map(|m| m.http).collect())
        }
    };
    let mut entries = Vec::new();
    let mut unresponsive = Vec::new();
    for address in addresses {
        match fetch_status(&address).await {
            Some(status) => entries.push(status),
            None => unresponsive.push(address),
        }
    }
    let newest = newest.max(entries.iter().map(|e| e.config).max().unwrap_or(0));
    let behind = behind(newest, &entries);
    Ok(Report {
        newest,
        entries,
        unreachable: unresponsive,
        behind,
    })
}

/// Returns the names of the nodes whose version is older than the newest. The version of an agent is the
/// newest that any entry knows to be in force there.
fn behind(newest: u64, entries: &[EntryStatus]) -> Vec<String> {
    let mut agents: BTreeMap<&str, u64> = BTreeMap::new();
    for agent in entries.iter().flat_map(|e| &e.agents) {
        let known = agents.entry(&agent.name).or_default();
        *known = (*known).max(agent.config);
    }
    let outdated_entries = entries.iter().filter(|e| e.config < newest);
    let mut names: Vec<String> = outdated_entries.map(|e| e.name.clone()).collect();
    let outdated_agents = agents.iter().filter(|(_, v)| **v < newest);
    names.extend(outdated_agents.map(|(name, _)| (*name).to_owned()));
    names
}

fn print_report(report: &Report) {
    println!("newest version: {}", report.newest);
    for e in &report.entries {
        println!(
            "entry {:16} version {:4} right {:9} shards {}/{} peers {} jobs {} waiting {} running {}{}",
            e.name,
            e.config,
            e.right,
            e.served,
            e.owned,
            e.peers,
            e.jobs,
            e.waiting,
            e.running,
            if e.leaving { " leaving" } else { "" }
        );
    }
    let Some(first) = report.entries.iter().max_by_key(|e| e.agents.len()) else {
        return;
    };
    for a in &first.agents {
        println!(
            "agent {:16} version {:4} {}/{} slots {}/{}{}{}",
            a.name,
            a.config,
            a.hall,
            a.zone,
            a.used,
            a.slots,
            if a.available { "" } else { " not usable" },
            if a.unhealthy { " on trial" } else { "" }
        );
    }
}
