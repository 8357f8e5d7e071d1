-- Demo for the keepers' association: smaller workers; one member is killed halfway.
start{cpu_millis = 16000, memory_mb = 32768, service = "rotas", document = "examples/keepers.ini"}
load{mix = "keepers", seconds = 20, calls = 300, jobs = 5}
sleep(10)
kill("e3")
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
