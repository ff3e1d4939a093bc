use {
    super::spawn_periodic,
    actix_rt::{System, time::sleep},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Guards against duties that are never done because another one panics each time.
#[test]
fn duties_are_done_although_one_of_them_panics_each_time() {
    System::new().block_on(async {
        let done: Rc<[Cell<u32>; 2]> = Rc::default();
        for (n, name) in ["panicking", "sound"].into_iter().enumerate() {
            let done = done.clone();
            spawn_periodic(name, Duration::from_millis(1), move || {
                done[n].update(|count| count + 1);
                assert!(n > 0, "a planted panic");
            });
        }
        while done[0].get() < 3 {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(done[1].get() > done[0].get(), "{done:?}");
    });
}
