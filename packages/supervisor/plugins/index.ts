// Tasks start in this order; a task may use services of tasks before it.
import './supervision.js';
import './entries.js';
import './follow-scheduler.js';
import './start-tasks.js';
import './stop-tasks.js';
import './operations.js';
