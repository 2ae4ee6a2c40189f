//! The view of the store's contents, and its transfer between routers.

use samphirespread_routing::{
    cache::{CacheEvent, CacheUpdate, Position, StoreContents},
    model::PromptPart,
};

const EPOCH: u64 = 7;

fn at(next: u64) -> Position {
    Position { epoch: EPOCH, next }
}

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
fn counts_a_part_only_if_all_parts_before_it_are_held() {
    let mut contents = StoreContents::default();
    contents.apply(at(1), [added("a"), added("c")]);

    let tokens = contents.leading_tokens("2", &[part("a", 10), part("b", 20), part("c", 40)]);

    assert_eq!(tokens, 10);
}

#[test]
fn does_not_find_parts_of_another_salt() {
    let mut contents = StoreContents::default();
    contents.apply(at(1), [added("a")]);

    assert_eq!(contents.leading_tokens("2/desk", &[part("a", 10)]), 0);
    assert_eq!(contents.leading_tokens("1", &[part("a", 10)]), 0);
}

#[test]
fn removes_dropped_parts_and_clears_all_after_a_restart() {
    let mut contents = StoreContents::default();
    contents.apply(at(1), [added("a"), added("b"), dropped("a")]);
    assert_eq!(contents.len(), 1);

    contents.apply(Position { epoch: EPOCH + 1, next: 0 }, []);

    assert!(contents.is_empty());
}

/// If many routers restart at once and route requests without knowing the store's contents, every
/// prompt is read and saved again.
#[test]
fn a_full_list_replaces_missed_events() {
    let mut contents = StoreContents::default();

    contents.replace(at(0), [("2".to_owned(), "a".to_owned())]);
    contents.apply(at(1), [added("b")]);

    assert_eq!(contents.leading_tokens("2", &[part("a", 10), part("b", 20)]), 30);
}

/// Updates the follower from the leader, and checks that both views are equal.
fn follow(leader: &StoreContents, follower: &mut StoreContents) -> CacheUpdate {
    let (to, update) = leader.update_from(follower.position()).expect("the leader knows something");
    follower.apply_update(to, update.clone());
    assert_eq!((follower.len(), follower.position()), (leader.len(), leader.position()));
    update
}

#[test]
fn follows_another_router_by_events_after_the_first_full_list() {
    let (mut leader, mut follower) = (StoreContents::default(), StoreContents::default());
    leader.replace(at(10), [("2".to_owned(), "a".to_owned())]);

    assert!(matches!(follow(&leader, &mut follower), CacheUpdate::All(_)));
    for next in 11..40 {
        leader.apply(at(next), [added(&format!("p{next}"))]);
        if next % 3 == 0 {
            assert!(matches!(follow(&leader, &mut follower), CacheUpdate::Events(_)));
        }
    }
    assert_eq!(follow(&leader, &mut follower), CacheUpdate::Events(Vec::new()));
}

/// The follower lacks events that the leader no longer keeps, or the store has restarted.
#[test]
fn requests_a_full_list_if_events_are_missing() {
    let (mut leader, mut follower) = (StoreContents::default(), StoreContents::default());
    leader.replace(at(0), []);
    follow(&leader, &mut follower);
    for next in 1..6_000 {
        leader.apply(at(next), [added(&format!("p{next}"))]);
    }
    assert!(matches!(follow(&leader, &mut follower), CacheUpdate::All(_)));

    leader.apply(Position { epoch: EPOCH + 1, next: 3 }, [added("fresh")]);

    assert!(matches!(follow(&leader, &mut follower), CacheUpdate::All(_)));
    assert_eq!(follower.leading_tokens("2", &[part("fresh", 5)]), 5);
}

/// When another router takes over reading the store's events, it continues from the position of the
/// previous one.
#[test]
fn a_follower_can_become_the_leader() {
    let (mut first, mut second) = (StoreContents::default(), StoreContents::default());
    first.replace(at(0), []);
    first.apply(at(4), [added("a"), added("b")]);
    follow(&first, &mut second);

    second.apply(at(5), [dropped("a")]);

    follow(&second, &mut first);
    assert_eq!(first.len(), 1);
}
