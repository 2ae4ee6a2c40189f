//! The scripted cases of the second review. The first argument names the case, the second its folder.

mod client;
mod entries;
mod ghosts;
mod memory;
mod record;
mod site;
mod store;
mod upgrade;
mod weights;
mod worker;

use std::path::PathBuf;

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let is_broken = match case.as_str() {
        "memory" => memory::run(&folder, has_trouble).await,
        "ghosts" => ghosts::run(&folder, has_trouble).await,
        "entries" => entries::run(&folder, has_trouble).await,
        "weights" => weights::run(&folder, has_trouble).await,
        "upgrade" => upgrade::run(&folder, has_trouble).await,
        _ => site::cant_run("no such case"),
    };
    std::process::exit(i32::from(is_broken));
}
