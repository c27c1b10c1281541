package jobs

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// Trigger is an event that moves a job from one state to another.
type Trigger string

// The triggers of a job.
const (
	// Place: room was found, and the members are being reserved.
	Place Trigger = "Place"
	// Launch: all members are running.
	Launch Trigger = "Launch"
	// Requeue: the attempt has ended, and the job waits for another one.
	Requeue Trigger = "Yield"
	// Halt: the members are being stopped.
	Halt Trigger = "Halt"
	// Recover: at takeover the job may have an attempt at its targets, the state of which
	// isn't known yet.
	Recover Trigger = "Doubt"
	// Finish: the outcome is known and being recorded.
	Finish Trigger = "Finish"
)

// stateMachine is shared by all jobs. The record whose state it changes is passed in the
// context, so that a job doesn't need a machine of its own.
var stateMachine = newStateMachine()

// recordKey is the context key of the record.
type recordKey struct{}

// newStateMachine returns the machine with the permitted transitions between the states.
func newStateMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) {
			return c.Value(recordKey{}).(*Record).State, nil
		},
		func(c context.Context, s stateless.State) error {
			c.Value(recordKey{}).(*Record).State = s.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Waiting).Permit(Place, Starting).Permit(Recover, Settling).Permit(Finish, Finished).Permit(Launch, Running)
	m.Configure(Starting).Permit(Launch, Running).Permit(Requeue, Waiting).Permit(Halt, Stopping).Permit(Recover, Settling)
	m.Configure(Running).Permit(Halt, Stopping).Permit(Finish, Finished).Permit(Recover, Settling)
	m.Configure(Stopping).Permit(Requeue, Waiting).Permit(Finish, Finished).Permit(Recover, Settling)
	m.Configure(Settling).Permit(Requeue, Waiting).Permit(Launch, Running).Permit(Halt, Stopping).Permit(Finish, Finished)
	return m
}

// Fire moves the record to the state that t leads to. If its state doesn't permit t it returns
// an error and changes nothing.
func (r *Record) Fire(t Trigger) error {
	c := context.WithValue(context.Background(), recordKey{}, r)
	if err := stateMachine.FireCtx(c, t); err != nil {
		return fmt.Errorf("job %s in state %s: %w", r.Spec.Key(), r.State, err)
	}
	return nil
}
