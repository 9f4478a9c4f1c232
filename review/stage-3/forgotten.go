package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	rareInterval = 7 * time.Second
	rareRepeats  = 13
	killDelay    = 2500 * time.Millisecond // From a deadly request to the death of all instances.
)

// killsAfter are the deadly requests after which all instances are killed.
var killsAfter = map[int]bool{1: true, 3: true}

// crashesForgotten sends a request that crashes each server that begins to run it, every few
// seconds, while all instances are killed twice.
func crashesForgotten(w *world, trouble bool) (broken bool, err error) {
	const deadly = "the deadly chat"
	f, err := startEngines(w, true, func(r *http.Request, body []byte) bool { return trouble && bytes.Equal(body, []byte(deadly)) })
	if err != nil {
		return false, err
	}
	if err := w.startInstances(1); err != nil {
		return false, err
	}
	stop := w.chatBeside()
	var sending sync.WaitGroup
	inTouch := map[string]bool{} // By the deadly request.
	for n := range rareRepeats {
		id, i := fmt.Sprintf("deadly-%02d", n), w.instances[n%len(w.instances)]
		inTouch[id] = i.inTouch(time.Now())
		sending.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			w.send(c, i, chat(id, deadly, prefix("91bd3f06", "e4402b7d")))
		})
		pause := rareInterval
		if trouble && killsAfter[n] {
			time.Sleep(killDelay)
			if err := w.killAll(); err != nil {
				return false, err
			}
			pause -= killDelay + restartDelay
		}
		time.Sleep(pause)
	}
	sending.Wait()
	asked, whole := stop()
	w.notef("chats beside: %d sent, %d whole", asked, whole)
	if whole*2 < asked {
		return false, fmt.Errorf("only %d of %d chats were served: the case says nothing", whole, asked)
	}
	return w.judge(f, func(id string) bool { return inTouch[id] }), nil
}
