import {createActor, fromTransition} from 'xstate';
import type {Step} from '#core';
import type {
	Clock, EffectHandler, TaskDefinition, TaskHandle,
} from './types.js';

type Envelope<Message> = Readonly<{type: 'message'; message: Message}>;

/** Reports an error as one that nothing handled, without interrupting the caller. */
function throwLater(error: unknown): void {
	queueMicrotask(() => {
		throw error;
	});
}

/**
Starts a task as an actor that handles one message at a time. Effects are performed after the state has changed; messages sent meanwhile are queued in the mailbox.

A message whose handling throws changes nothing, and an effect that throws does not keep others from being performed; the error is reported as unexpected.

@example
```
const counter = startTask(counterDefinition, {clock, perform(effect, send) {}});
counter.send({kind: 'add', amount: 1});
```
*/
export function startTask<State, Message, Effect>(
	definition: TaskDefinition<State, Message, Effect>,
	services: Readonly<{clock: Clock; perform: EffectHandler<Message, Effect>; reportError?: (error: unknown) => void}>,
): TaskHandle<State, Message> {
	const {clock, perform, reportError = throwLater} = services;
	const receive = (state: State, message: Message): Step<State, Effect> => {
		try {
			return definition.receive(state, message, {now: clock.now(), monotonic: clock.monotonic()});
		} catch (error) {
			reportError(error);
			return {state, effects: []};
		}
	};

	const logic = fromTransition(
		// XState sends `xstate.stop` when the actor stops. It contains no message and must not repeat the effects of the last step.
		(step: Step<State, Effect>, envelope: Envelope<Message> | Readonly<{type: 'xstate.stop'}>) => envelope.type === 'message'
			? receive(step.state, envelope.message)
			: {state: step.state, effects: []},
		{state: definition.initialState, effects: []},
	);
	const actor = createActor(logic);
	const send = (message: Message) => {
		actor.send({type: 'message', message});
	};

	actor.subscribe(({context}) => {
		for (const effect of context.effects) {
			try {
				perform(effect, send);
			} catch (error) {
				reportError(error);
			}
		}
	});
	actor.start();

	return {
		name: definition.name,
		send,
		read: () => actor.getSnapshot().context.state,
		subscribe(listener) {
			const subscription = actor.subscribe(({context}) => {
				listener(context.state);
			});
			return () => {
				subscription.unsubscribe();
			};
		},
		stop() {
			actor.stop();
		},
	};
}
