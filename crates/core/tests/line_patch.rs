//! Patches lead to exactly the new text, and take time that is about linear in it.

use {
    cpu_time::ThreadTime,
    diffy::{DiffOptions, Patch, apply_bytes},
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, seq::SliceRandom},
    rattanturn_core::line_patch::{apply, create},
    std::time::Duration,
};

/// Size of the largest configuration that the store accepts.
const MAX_CONFIG_BYTES: usize = 1 << 20;
/// Longest time for which one peer's request may hold up the thread that also answers readiness checks.
const MAX_HOLD_TIME: Duration = Duration::from_millis(50);

/// Lines like those of a configuration, of which `edit` tells what changes in each.
fn routes(count: usize, edit: impl Fn(usize) -> usize) -> Vec<String> {
    let rest = "x".repeat(120);
    let line = |i| {
        format!(
            "{{\"name\":\"r-{i}\",\"timeoutMs\":{},\"{rest}\"}},\n",
            edit(i)
        )
    };
    (0..count).map(line).collect()
}

fn shuffled(lines: &[String]) -> Vec<String> {
    let mut out = lines.to_vec();
    out.shuffle(&mut rand_chacha::ChaCha8Rng::seed_from_u64(1));
    out
}

/// New texts for one of `base`, by what was changed.
fn changed(base: &[String]) -> Vec<(&'static str, Vec<String>)> {
    let (count, half) = (base.len(), base.len() / 2);
    let edited = |keep: usize| -> Vec<String> {
        let edit = |(i, line): (usize, &String)| {
            let stays = keep > 0 && i % keep == 0;
            if stays {
                line.clone()
            } else {
                format!("new {line}")
            }
        };
        base.iter().enumerate().map(edit).collect()
    };
    vec![
        ("none", base.to_vec()),
        ("all", edited(0)),
        ("every second one", edited(2)),
        ("reversed", base.iter().rev().cloned().collect()),
        ("shuffled", shuffled(base)),
        ("rotated", [&base[half..], &base[..half]].concat()),
        (
            "without every second one",
            base.iter().step_by(2).cloned().collect(),
        ),
        ("one line", vec![base[0].clone(); count]),
        (
            "three lines",
            (0..count).map(|i| base[i * 5 % 7 % 3].clone()).collect(),
        ),
        ("nothing", Vec::new()),
    ]
}

/// Asserts that a patch, if there is one, leads to `new`, also by the code of older builds.
fn assert_leads(base: &[u8], new: &[u8], what: &str) {
    let Some(patch) = create(base, new) else {
        return;
    };
    assert!(patch.len() < new.len(), "{what}: {} bytes", patch.len());
    assert!(apply(base, &patch).as_deref() == Some(new), "{what}");
    let parsed = Patch::from_bytes(&patch).expect(what);
    let old = apply_bytes(base, &parsed);
    assert!(old.is_ok_and(|old| old == new), "{what}, by an older build");
    let mut options = DiffOptions::new();
    let options = options.set_context_len(0);
    let theirs = options.create_patch_bytes(base, new).to_bytes();
    let ours = apply(base, &theirs);
    assert!(ours.as_deref() == Some(new), "{what}, of an older build");
}

/// Guards against a control thread that is held up by a version which changes most lines.
#[test]
fn no_change_of_a_configuration_holds_a_thread_up() {
    let long = routes(MAX_CONFIG_BYTES / 160, |_| 0);
    let few = (0..long.len()).map(|i| long[i % 3].clone()).collect();
    let short: Vec<String> = (0..MAX_CONFIG_BYTES / 16)
        .map(|i| format!("\"r-{i}\",\n"))
        .collect();
    for (of, base) in [("long", long), ("few", few), ("short", short)] {
        for (name, new) in changed(&base) {
            let (base, new) = (base.concat().into_bytes(), new.concat().into_bytes());
            let what = format!("{of} lines, {name}");
            let start = ThreadTime::now();
            let patch = create(&base, &new);
            let made = start.elapsed();
            assert!(made < MAX_HOLD_TIME, "{what}: made in {made:?}");
            if let Some(patch) = patch {
                let start = ThreadTime::now();
                let result = apply(&base, &patch);
                let applied = start.elapsed();
                assert!(applied < MAX_HOLD_TIME, "{what}: applied in {applied:?}");
                assert!(result.as_deref() == Some(&new[..]), "{what}");
            }
        }
    }
}

#[test]
fn patches_lead_to_the_new_text() {
    for (name, new) in changed(&routes(60, |_| 0)) {
        let base = routes(60, |_| 0).concat();
        assert_leads(base.as_bytes(), new.concat().as_bytes(), name);
        // Without a newline at the end of either.
        let (base, new) = (base.trim_end(), new.concat());
        assert_leads(base.as_bytes(), new.trim_end().as_bytes(), name);
    }
}

#[test]
fn a_patch_is_small_if_few_lines_change_moves_or_go() {
    let base = routes(500, |_| 0);
    let mut new = routes(500, |i| usize::from(i % 100 == 7));
    new.remove(250);
    new.insert(400, "a new line\n".into());
    new.swap(20, 30);
    let patch = create(base.concat().as_bytes(), new.concat().as_bytes()).unwrap();
    let longest = base[499].len();
    // Five edits, a swap of two lines, a removed and a new line; each line before and after.
    assert!(patch.len() < 16 * (longest + 32), "{} bytes", patch.len());
}

#[test]
fn a_patch_for_another_base_is_rejected() {
    let base = routes(50, |_| 0).concat();
    let new = routes(50, |i| usize::from(i == 30)).concat();
    let patch = create(base.as_bytes(), new.as_bytes()).unwrap();
    let other = routes(50, |i| usize::from(i == 30) * 2).concat();
    assert_eq!(apply(other.as_bytes(), &patch), None);
    assert_eq!(apply(b"", &patch), None);
    assert_eq!(apply(base.as_bytes(), b"@@ -9,1 +8 nonsense"), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(54),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn patches_between_any_texts_lead_to_the_new_one(
        base in prop::collection::vec("[ab+@ \\\\-]{0,2}\n?", 0..12),
        new in prop::collection::vec("[ab+@ \\\\-]{0,2}\n?", 0..12),
        common in prop::collection::vec("[abc]{1,9}\n", 20),
    ) {
        // The common lines make the texts longer than a patch.
        let text = |part: &[String]| [&common[..10], part, &common[10..]].concat().concat();
        assert_leads(text(&base).as_bytes(), text(&new).as_bytes(), "any");
        let ends = |part: &[String]| [&common[..], part].concat().concat();
        assert_leads(ends(&base).as_bytes(), ends(&new).as_bytes(), "any end");
    }
}
