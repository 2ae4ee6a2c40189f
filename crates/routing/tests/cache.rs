//! What the store of cached parts is believed to hold.

use samphirespread_routing::{
    cache::{CacheEvent, StoreContents},
    model::PromptPart,
};

const EPOCH: u64 = 7;

fn part(id: &str, tokens: u64) -> PromptPart {
    PromptPart { id: id.into(), tokens }
}

fn added(part: &str) -> CacheEvent {
    CacheEvent { added: true, salt: "2".to_owned(), part: part.to_owned() }
}

fn dropped(part: &str) -> CacheEvent {
    CacheEvent { added: false, ..added(part) }
}

#[test]
fn a_part_counts_only_when_all_parts_before_it_are_held() {
    let mut contents = StoreContents::default();
    contents.apply(EPOCH, [added("a"), added("c")]);

    let tokens = contents.leading_tokens("2", &[part("a", 10), part("b", 20), part("c", 40)]);

    assert_eq!(tokens, 10);
}

#[test]
fn parts_of_another_salt_are_not_found() {
    let mut contents = StoreContents::default();
    contents.apply(EPOCH, [added("a")]);

    assert_eq!(contents.leading_tokens("2/desk", &[part("a", 10)]), 0);
    assert_eq!(contents.leading_tokens("1", &[part("a", 10)]), 0);
}

#[test]
fn a_dropped_part_is_gone_and_a_restart_empties_all() {
    let mut contents = StoreContents::default();
    contents.apply(EPOCH, [added("a"), added("b"), dropped("a")]);
    assert_eq!(contents.len(), 1);

    contents.apply(EPOCH + 1, []);

    assert!(contents.is_empty());
}

/// A router that restarts in a herd learns what the store holds before its requests are routed
/// without it: otherwise every prompt is read and saved again.
#[test]
fn a_full_list_stands_for_events_that_were_missed() {
    let mut contents = StoreContents::default();

    contents.replace(EPOCH, [("2".to_owned(), "a".to_owned())]);
    contents.apply(EPOCH, [added("b")]);

    assert_eq!(contents.leading_tokens("2", &[part("a", 10), part("b", 20)]), 30);
}
