//! Tests that the log of a gateway explains the cause of each kind of failure.

use samphirespread_explain::{Logs, explain};
use samphirespread_standin::published::{Behaviour, StoreFault};

use crate::support::{OTHER_KEY, Site, call, configuration, generation, request, start_site};

/// Explains a request from the gateway's log, once its end is logged.
async fn explanation(site: &Site, id: &str) -> String {
    site.gateway.log.line("request ended", id).await;
    let mut logs = Logs::default();
    for line in site.gateway.log.lines() {
        logs.read_line(&line.to_string());
    }
    explain(&logs, id, 0)
}

fn expect_of_all(site: &Site, behaviour: Behaviour) {
    site.workers.iter().for_each(|worker| worker.expect([behaviour; 4]));
}

#[tokio::test]
async fn explains_a_refusal_by_all_servers() {
    let site = start_site(configuration()).await;
    expect_of_all(&site, Behaviour::Refuse);

    site.send(call("/lookup/a", "q1")).await;

    let text = explanation(&site, "q1").await;
    assert!(text.contains("Not run: no backend server took it"), "{text}");
    assert!(text.contains("d1 refused") && text.contains("d2 refused"), "{text}");
}

#[tokio::test]
async fn explains_a_refusal_over_the_quota() {
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

    let text = explanation(&site, &refused.expect("200 requests exceed the quota")).await;

    assert!(text.contains("Not run: team other-team was over its quota"), "{text}");
}

#[tokio::test]
async fn explains_a_refusal_while_out_of_touch() {
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

    let text = explanation(&site, &id).await;

    assert!(text.contains("no word from the store for too long"), "{text}");
}

#[tokio::test]
async fn explains_an_unknown_outcome() {
    let site = start_site(configuration()).await;
    expect_of_all(&site, Behaviour::BreakOff);

    site.send(call("/issue/a", "q1")).await;

    let text = explanation(&site, "q1").await;
    assert!(text.contains("May have run on d"), "{text}");
    assert!(text.contains("could not be sent again"), "{text}");
}

#[tokio::test]
async fn explains_a_cut_stream() {
    let site = start_site(configuration()).await;
    expect_of_all(&site, Behaviour::CutStreamAfter(2));

    site.send(generation("/stream/a", "q1")).await;

    let text = explanation(&site, "q1").await;
    assert!(text.contains("The stream from e"), "{text}");
    assert!(text.contains("was cut"), "{text}");
}

#[tokio::test]
async fn explains_a_timeout() {
    let site = start_site(configuration()).await;
    expect_of_all(&site, Behaviour::AnswerAfterMs(2_000));
    let mut slow = call("/issue/a", "q1");
    slow.headers_mut().insert("x-samphirespread-deadline-ms", "150".parse().unwrap());

    site.send(slow).await;

    let text = explanation(&site, "q1").await;
    assert!(text.contains("May have run on d") && text.contains("timeout"), "{text}");
}

#[tokio::test]
async fn explains_unreachable_servers() {
    let site = start_site(configuration()).await;
    for worker in &site.workers {
        worker.stop().await;
    }

    site.send(call("/lookup/a", "q1")).await;

    let text = explanation(&site, "q1").await;
    assert!(text.contains("no backend server took it"), "{text}");
    assert!(text.contains("was not reached"), "{text}");
}

#[tokio::test]
async fn explains_an_unknown_key_and_an_unknown_route() {
    let site = start_site(configuration()).await;
    let mut unknown_key = call("/lookup/a", "q1");
    unknown_key.headers_mut().insert("authorization", "Token nobody".parse().unwrap());
    let unknown_route =
        request("GET", "/nowhere", "q2").body(http_body_util::Full::default()).unwrap();

    site.send(unknown_key).await;
    site.send(unknown_route).await;

    let (first, second) = (explanation(&site, "q1").await, explanation(&site, "q2").await);
    assert!(first.contains("its key belongs to no team"), "{first}");
    assert!(second.contains("no route of the configuration"), "{second}");
}

#[tokio::test]
async fn explains_a_repeat_refused_by_the_retry_budget() {
    let site = start_site(configuration()).await;
    site.workers.iter().for_each(|worker| worker.expect([Behaviour::Refuse; 100]));
    for number in 0..60 {
        site.send(call("/lookup/a", &format!("q{number}"))).await;
    }
    let lines = site.gateway.log.lines();
    let spent = lines.iter().find(|line| line["msg"] == "no repeat: budget spent");
    let id = spent.expect("60 requests exhaust the retry budget")["request"].as_str().unwrap();

    let text = explanation(&site, id).await;

    assert!(text.contains("the budget for repeats was spent"), "{text}");
}
