package shard

import (
	"fmt"
	"strings"
	"time"
)

// obstacle is a reason, other than a lack of room, why a minion is given no task
// of a step.
type obstacle int8

// Obstacles, in the order in which they are looked for.
const (
	noObstacle obstacle = iota
	noRow
	notSynced
	isDraining
	isSilent
	isPaused
	acksOwed
	zoneSilent
	wrongKind
	awaitsProbe
	runsTrial
	staleRow
	restartUnconfirmed
	obstacleCount // number of obstacles
)

// obstacleTexts are the obstacles as the log shows them.
var obstacleTexts = [obstacleCount]string{
	noRow:              "have no row",
	notSynced:          "have not answered this owner",
	isDraining:         "drain",
	isSilent:           "are silent",
	isPaused:           "are paused",
	acksOwed:           "have a full list of ends, and starts in flight",
	zoneSilent:         "are in a silent zone",
	wrongKind:          "are too small or lack the label",
	awaitsProbe:        "have failed and wait for the end of a probe",
	runsTrial:          "have a run on trial",
	staleRow:           "have a row that is too old",
	restartUnconfirmed: "have a row of an incarnation that has not answered",
}

// obstacle returns why the minion is given no work at all.
func (m *minion) obstacle(now time.Time) obstacle {
	switch {
	case !m.present(now):
		return noRow
	case !m.synced:
		return notSynced
	case m.Draining:
		return isDraining
	case !m.silentSince.IsZero():
		return isSilent
	case now.Before(m.pausedUntil) || m.pausedForFailures(now):
		return isPaused
	case m.owesAck(now):
		return acksOwed
	case m.zone.unreachable(now):
		return zoneSilent
	}
	return noObstacle
}

// usable reports whether new work may be sent to the minion.
func (m *minion) usable(now time.Time) bool { return m.obstacle(now) == noObstacle }

// obstacle returns why a task of the step is not placed on m, for a start that
// is sent at a later time.
func (p *step) obstacle(now, send time.Time, m *minion) obstacle {
	if o := p.persistentObstacle(now, m); o != noObstacle {
		return o
	}
	switch {
	case m.closedTo(p):
		return runsTrial
	case send.After(m.rowValidUntil):
		return staleRow
	case m.restart != nil:
		return restartUnconfirmed
	}
	return noObstacle
}

// persistentObstacle is obstacle without what ends soon: trials, and the wait for a
// new row.
func (p *step) persistentObstacle(now time.Time, m *minion) obstacle {
	if o := m.obstacle(now); o != noObstacle {
		return o
	}
	switch {
	case !p.suits(m):
		return wrongKind
	case m.probing(now):
		return awaitsProbe
	}
	return noObstacle
}

// obstacleCounts counts minions by obstacle.
type obstacleCounts [obstacleCount]int

// String lists the obstacles that some minion has.
func (c obstacleCounts) String() string {
	var out []string
	for o, n := range c {
		if n > 0 && obstacle(o) != noObstacle {
			out = append(out, fmt.Sprintf("%d %s", n, obstacleTexts[o]))
		}
	}
	return strings.Join(out, ", ")
}
