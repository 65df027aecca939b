package place
import ("testing";"fmt";"time")
func TestDbg(t *testing.T){
 dbg=func(at time.Duration, q Request, c Choice, b *Board, free map[string]time.Duration){
  if q.Target==fastTarget && at>4*time.Second && at<5*time.Second {
    l:=b.loads[c.ID]
    s:=""
    idle:=0
    for id:=range b.loads { if free[id]<=at {idle++}; s+=fmt.Sprintf(" %s:%d/%d", id, b.loads[id].backlog(time.Unix(1000,0).Add(at)).Milliseconds(), max(0,(free[id]-at).Milliseconds())) }
    fmt.Println(at, c.ID, "exp", c.Expected, "real", max(0,free[c.ID]-at), "idle", idle, "rate", int(l.speed.rate), l.speed.base, s)
  }
 }
 fmt.Println(play(played{engines: 12, long: 30, short: 19, things: 66, length: 10 * time.Second, queued:true}))
}
