-- One executor never answers its calls and one worker fails every task that it starts. Both
-- therefore look idle.
start{}
endpoint_mode("x" .. math.random(1, 50), {black_hole = true})
endpoint_mode("w" .. math.random(1, 50), {fail_all = true})
load{seconds = 12, calls = 200, jobs = 8}
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
expect(f.classes.hold.done >= f.classes.hold.sent * 0.98, "holds are answered elsewhere")
expect(f.classes.review.done >= f.classes.review.sent * 0.97, "reviews are done elsewhere")
