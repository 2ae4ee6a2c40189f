//! Each kind of failure through a real gateway, and what its log tells of the cause.

use samphirespread_explain::{Logs, explain};
use samphirespread_standin::published::{Behaviour, StoreFault};

use crate::support::{OTHER_KEY, Site, call, configuration, generation, request, start_site};

/// The story of a request, once the gateway has logged its end.
async fn story(site: &Site, id: &str) -> String {
    site.gateway.log.line("request ended", id).await;
    let mut logs = Logs::default();
    for line in site.gateway.log.lines() {
        logs.read_line(&line.to_string());
    }
    explain(&logs, id, 0)
}

fn all(site: &Site, behaviour: Behaviour) {
    site.workers.iter().for_each(|worker| worker.expect([behaviour; 4]));
}

#[tokio::test]
async fn refused_by_all_servers() {
    let site = start_site(configuration()).await;
    all(&site, Behaviour::Refuse);

    site.send(call("/lookup/a", "q1")).await;

    let story = story(&site, "q1").await;
    assert!(story.contains("Not run: no backend server took it"), "{story}");
    assert!(story.contains("d1 refused") && story.contains("d2 refused"), "{story}");
}

#[tokio::test]
async fn refused_over_the_quota() {
    let site = start_site(configuration()).await;
    let ask = |id: &str| {
        let mut request = call("/lookup/a", id);
        let key = format!("Token {OTHER_KEY}").parse().unwrap();
        request.headers_mut().insert("authorization", key);
        request
    };
    let mut refused = None;
    for number in 0..200 {
        let id = format!("q{number}");
        if site.send(ask(&id)).await.status == 429 {
            refused = Some(id);
            break;
        }
    }

    let story = story(&site, &refused.expect("the quota ends")).await;

    assert!(story.contains("Not run: team other-team was over its quota"), "{story}");
}

#[tokio::test]
async fn refused_while_out_of_touch() {
    let site = start_site(configuration()).await;
    site.store.set_fault(StoreFault::Unavailable);
    let mut number = 0;
    let id = loop {
        number += 1;
        let id = format!("q{number}");
        if site.send(call("/lookup/a", &id)).await.status == 503 {
            break id;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    };

    let story = story(&site, &id).await;

    assert!(story.contains("no word from the store for too long"), "{story}");
}

#[tokio::test]
async fn a_plain_call_that_ended_unknown() {
    let site = start_site(configuration()).await;
    all(&site, Behaviour::BreakOff);

    site.send(call("/issue/a", "q1")).await;

    let story = story(&site, "q1").await;
    assert!(story.contains("May have run on d"), "{story}");
    assert!(story.contains("could not be sent again"), "{story}");
}

#[tokio::test]
async fn a_stream_that_was_cut_midway() {
    let site = start_site(configuration()).await;
    all(&site, Behaviour::CutStreamAfter(2));

    site.send(generation("/stream/a", "q1")).await;

    let story = story(&site, "q1").await;
    assert!(story.contains("The stream from e"), "{story}");
    assert!(story.contains("was cut"), "{story}");
}

#[tokio::test]
async fn an_answer_that_took_too_long() {
    let site = start_site(configuration()).await;
    all(&site, Behaviour::AnswerAfterMs(2_000));
    let mut slow = call("/issue/a", "q1");
    slow.headers_mut().insert("x-samphirespread-deadline-ms", "150".parse().unwrap());

    site.send(slow).await;

    let story = story(&site, "q1").await;
    assert!(story.contains("May have run on d") && story.contains("timeout"), "{story}");
}

#[tokio::test]
async fn no_server_answers_at_its_address() {
    let site = start_site(configuration()).await;
    for worker in &site.workers {
        worker.stop().await;
    }

    site.send(call("/lookup/a", "q1")).await;

    let story = story(&site, "q1").await;
    assert!(story.contains("no backend server took it"), "{story}");
    assert!(story.contains("was not reached"), "{story}");
}

#[tokio::test]
async fn a_key_that_belongs_to_nobody_and_a_path_without_a_route() {
    let site = start_site(configuration()).await;
    let mut stranger = call("/lookup/a", "q1");
    stranger.headers_mut().insert("authorization", "Token nobody".parse().unwrap());
    let lost = request("GET", "/nowhere", "q2").body(http_body_util::Full::default()).unwrap();

    site.send(stranger).await;
    site.send(lost).await;

    let (first, second) = (story(&site, "q1").await, story(&site, "q2").await);
    assert!(first.contains("its key belongs to no team"), "{first}");
    assert!(second.contains("no route of the configuration"), "{second}");
}

#[tokio::test]
async fn a_repeat_that_the_budget_does_not_allow() {
    let site = start_site(configuration()).await;
    site.workers.iter().for_each(|worker| worker.expect([Behaviour::Refuse; 100]));
    for number in 0..60 {
        site.send(call("/lookup/a", &format!("q{number}"))).await;
    }
    let lines = site.gateway.log.lines();
    let spent = lines.iter().find(|line| line["msg"] == "no repeat: budget spent");
    let id = spent.expect("the budget ends")["request"].as_str().unwrap();

    let story = story(&site, id).await;

    assert!(story.contains("the budget for repeats was spent"), "{story}");
}
