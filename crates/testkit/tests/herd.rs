//! All routers restart at once, and serve again.

use std::time::Duration;

use samphirespread_standin::platform::Outage;
use samphirespread_testkit::{Fleet, steps::request};
use tokio::time::sleep;

const ROUTERS: usize = 3;
const POLL: Duration = Duration::from_millis(20);
const POLLS: usize = 1_000;

async fn wait_until_served(fleet: &Fleet, router: usize) {
    let mut last = String::new();
    for _ in 0..POLLS {
        match fleet.caller(router).complete(&request("Is it clear?", 2)).await {
            Ok(answer) if answer.is_complete() => return,
            answer => last = format!("{answer:?}"),
        }
        sleep(POLL).await;
    }
    panic!("router {router} never served again: {last}");
}

async fn kill_and_restart_all(fleet: &mut Fleet) {
    for router in 0..ROUTERS {
        fleet.routers[router].daemon.kill().await;
    }
    for router in 0..ROUTERS {
        fleet.restart_router(router).await;
    }
}

#[tokio::test]
async fn routers_that_all_restart_serve_again() {
    let mut fleet = Fleet::builder().routers(ROUTERS).agents(2).start().await;

    kill_and_restart_all(&mut fleet).await;

    for router in 0..ROUTERS {
        wait_until_served(&fleet, router).await;
    }
}

#[tokio::test]
async fn routers_that_all_restart_in_an_outage_serve_once_it_ends() {
    let mut fleet = Fleet::builder().routers(ROUTERS).agents(2).start().await;
    fleet.platform.set_outage(Outage::Silent);

    kill_and_restart_all(&mut fleet).await;
    let refused = fleet.caller(0).complete(&request("Too early.", 2)).await.unwrap();
    fleet.platform.set_outage(Outage::None);

    assert!(refused.refusal.unwrap().not_run);
    for router in 0..ROUTERS {
        wait_until_served(&fleet, router).await;
    }
}
