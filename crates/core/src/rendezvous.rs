//! Rendezvous hashing, with which all processes compute the same order without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a candidate for a subject. Candidates with higher scores come first.
pub fn score(subject: &[u8], candidate: &str) -> u64 {
    xxh3_64_with_seed(subject, xxh3_64_with_seed(candidate.as_bytes(), 0))
}

/// Returns the indices of all candidates by descending score. Equal scores are ordered by name.
pub fn rank<T>(subject: &[u8], candidates: &[T], name: impl Fn(&T) -> &str) -> Vec<usize> {
    let mut scored: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| (score(subject, name(candidate)), index))
        .collect();
    scored.sort_by(|a, b| {
        b.0.cmp(&a.0).then_with(|| name(&candidates[a.1]).cmp(name(&candidates[b.1])))
    });
    scored.into_iter().map(|(_, index)| index).collect()
}
