-- Four in five jobs are cancelled soon after they were accepted, while the cell is full.
start{workers = 12}
load{seconds = 10, calls = 100, jobs = 40, cancel = 0.8}
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
expect(f.classes.hold.done >= f.classes.hold.sent * 0.99, "holds are answered")
