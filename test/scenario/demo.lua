-- Demo for Tabara: 20 s of mixed load; one member is killed halfway.
start{}
load{seconds = 20, calls = 300, jobs = 5}
sleep(10)
kill("e3")
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
